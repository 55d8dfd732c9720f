//! A request body that can be sent again by a retry.

use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use crate::peer::BodyError;

/// The most bytes buffered for a retry; once more have been read, the request is not retried.
const MAX_REPLAY_BYTES: usize = 64 << 10;

struct State {
    source: Incoming,
    /// All data read so far; empty once `is_incomplete` is set.
    chunks: Vec<Bytes>,
    kept_bytes: usize,
    /// Whether data that was read has been discarded.
    is_incomplete: bool,
    read_bytes: u64,
    max_bytes: u64,
    too_large: bool,
    ended: bool,
    /// The error with which reading the source failed.
    error: Option<BodyError>,
    current_attempt: u32,
}

/// The body of a caller's request, which is buffered for retries up to [`MAX_REPLAY_BYTES`].
#[derive(Clone)]
pub struct ReplayBody {
    state: Arc<Mutex<State>>,
}

impl ReplayBody {
    /// Wraps a body of at most `max_bytes` bytes.
    #[must_use]
    pub fn new(source: Incoming, max_bytes: u64) -> Self {
        let ended = source.is_end_stream();
        let state = State {
            source,
            chunks: Vec::new(),
            kept_bytes: 0,
            is_incomplete: false,
            read_bytes: 0,
            max_bytes,
            too_large: false,
            ended,
            error: None,
            current_attempt: 0,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Returns the body for the next attempt; the body of the previous attempt fails from now on.
    #[must_use]
    pub fn attempt(&self) -> AttemptBody {
        let mut state = self.lock();
        state.current_attempt += 1;
        AttemptBody {
            number: state.current_attempt,
            next_chunk: 0,
            sent_bytes: 0,
            body: self.clone(),
        }
    }

    /// Returns whether another attempt can send the complete body.
    #[must_use]
    pub fn is_replayable(&self) -> bool {
        let state = self.lock();
        !state.is_incomplete && !state.too_large
    }

    /// Returns whether the body exceeded the maximum size.
    #[must_use]
    pub fn is_too_large(&self) -> bool {
        self.lock().too_large
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The request body of one attempt.
pub struct AttemptBody {
    body: ReplayBody,
    number: u32,
    next_chunk: usize,
    sent_bytes: u64,
}

impl Body for AttemptBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let body = self.body.clone();
        let mut state = body.lock();
        if state.current_attempt != self.number {
            return Poll::Ready(Some(Err(BodyError::new(
                &"a later attempt sends this body",
            ))));
        }
        let chunk = match state.chunks.get(self.next_chunk) {
            Some(chunk) => Ok(Some(chunk.clone())),
            None => ready!(state.poll_next(cx)),
        };
        Poll::Ready(match chunk {
            Ok(Some(chunk)) => {
                self.next_chunk += 1;
                self.sent_bytes += chunk.len() as u64;
                Some(Ok(Frame::data(chunk)))
            }
            Ok(None) => None,
            Err(error) => Some(Err(error)),
        })
    }

    fn is_end_stream(&self) -> bool {
        let state = self.body.lock();
        state.ended && self.next_chunk >= state.chunks.len()
    }

    fn size_hint(&self) -> SizeHint {
        let state = self.body.lock();
        match state.source.size_hint().exact() {
            Some(left) => {
                SizeHint::with_exact((left + state.read_bytes).saturating_sub(self.sent_bytes))
            }
            None => SizeHint::default(),
        }
    }
}

impl State {
    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, BodyError>> {
        if let Some(error) = &self.error {
            return Poll::Ready(Err(error.clone()));
        }
        if self.ended {
            return Poll::Ready(Ok(None));
        }
        let next = ready!(self.poll_source(cx));
        if let Err(error) = &next {
            // A source that has failed may report a regular end when it is polled again.
            self.error = Some(error.clone());
        }
        Poll::Ready(next)
    }

    fn poll_source(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, BodyError>> {
        loop {
            let Some(frame) = ready!(Pin::new(&mut self.source).poll_frame(cx)) else {
                self.ended = true;
                return Poll::Ready(Ok(None));
            };
            let frame = frame.map_err(|error| BodyError::new(&error));
            // Trailers are not forwarded.
            if let Ok(data) = frame?.into_data() {
                return Poll::Ready(self.keep(data).map(Some));
            }
        }
    }

    fn keep(&mut self, data: Bytes) -> Result<Bytes, BodyError> {
        self.read_bytes += data.len() as u64;
        if self.read_bytes > self.max_bytes {
            self.too_large = true;
            return Err(BodyError::new(&"the body exceeds the maximum size"));
        }
        self.kept_bytes += data.len();
        if !self.is_incomplete && self.kept_bytes <= MAX_REPLAY_BYTES {
            self.chunks.push(data.clone());
        } else {
            self.is_incomplete = true;
            self.chunks.clear();
        }
        Ok(data)
    }
}
