//! A caller's body that several attempts may send.

use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use crate::peer::CutError;

/// Bytes that are kept for another attempt; a body that has sent more cannot be sent again.
const REPLAY_BYTES: usize = 64 << 10;

struct State {
    source: Incoming,
    /// What was read, as long as it is all there.
    parts: Vec<Bytes>,
    held: usize,
    /// Whether something that was read is not held any more.
    lost: bool,
    read: u64,
    max: u64,
    too_large: bool,
    ended: bool,
    /// Why it will never be whole, where that is so.
    cut: Option<CutError>,
    attempt: u32,
}

/// The body of a caller's request, of which the start is kept for further attempts.
#[derive(Clone)]
pub struct ReplayBody {
    state: Arc<Mutex<State>>,
}

impl ReplayBody {
    /// Takes in a body of at most `max` bytes.
    #[must_use]
    pub fn new(source: Incoming, max: u64) -> Self {
        let ended = source.is_end_stream();
        let state = State {
            source,
            parts: Vec::new(),
            held: 0,
            lost: false,
            read: 0,
            max,
            too_large: false,
            ended,
            cut: None,
            attempt: 0,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Returns the body for the next attempt; that of the last attempt fails from now on.
    #[must_use]
    pub fn attempt(&self) -> AttemptBody {
        let mut state = self.lock();
        state.attempt += 1;
        AttemptBody {
            number: state.attempt,
            next: 0,
            given: 0,
            body: self.clone(),
        }
    }

    /// Returns whether another attempt can send the whole body.
    #[must_use]
    pub fn is_replayable(&self) -> bool {
        let state = self.lock();
        !state.lost && !state.too_large
    }

    /// Returns whether the body turned out larger than allowed.
    #[must_use]
    pub fn is_too_large(&self) -> bool {
        self.lock().too_large
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The body as one attempt sends it.
pub struct AttemptBody {
    body: ReplayBody,
    number: u32,
    next: usize,
    given: u64,
}

impl Body for AttemptBody {
    type Data = Bytes;
    type Error = CutError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CutError>>> {
        let body = self.body.clone();
        let mut state = body.lock();
        if state.attempt != self.number {
            return Poll::Ready(Some(Err(CutError::new(&"another attempt sends it"))));
        }
        let part = match state.parts.get(self.next) {
            Some(part) => Ok(Some(part.clone())),
            None => ready!(state.poll_next(cx)),
        };
        Poll::Ready(match part {
            Ok(Some(part)) => {
                self.next += 1;
                self.given += part.len() as u64;
                Some(Ok(Frame::data(part)))
            }
            Ok(None) => None,
            Err(error) => Some(Err(error)),
        })
    }

    fn is_end_stream(&self) -> bool {
        let state = self.body.lock();
        state.ended && self.next >= state.parts.len()
    }

    fn size_hint(&self) -> SizeHint {
        let state = self.body.lock();
        match state.source.size_hint().exact() {
            Some(left) => SizeHint::with_exact((left + state.read).saturating_sub(self.given)),
            None => SizeHint::default(),
        }
    }
}

impl State {
    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, CutError>> {
        if let Some(cut) = &self.cut {
            return Poll::Ready(Err(cut.clone()));
        }
        if self.ended {
            return Poll::Ready(Ok(None));
        }
        let next = ready!(self.poll_source(cx));
        if let Err(error) = &next {
            // A source that has failed may look ended when it is read once more.
            self.cut = Some(error.clone());
        }
        Poll::Ready(next)
    }

    fn poll_source(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, CutError>> {
        loop {
            let Some(frame) = ready!(Pin::new(&mut self.source).poll_frame(cx)) else {
                self.ended = true;
                return Poll::Ready(Ok(None));
            };
            let frame = frame.map_err(|error| CutError::new(&error));
            // Trailers are not handed on.
            if let Ok(data) = frame?.into_data() {
                return Poll::Ready(self.take(data).map(Some));
            }
        }
    }

    fn take(&mut self, data: Bytes) -> Result<Bytes, CutError> {
        self.read += data.len() as u64;
        if self.read > self.max {
            self.too_large = true;
            return Err(CutError::new(&"the body is larger than allowed"));
        }
        self.held += data.len();
        if !self.lost && self.held <= REPLAY_BYTES {
            self.parts.push(data.clone());
        } else {
            self.lost = true;
            self.parts.clear();
        }
        Ok(data)
    }
}
