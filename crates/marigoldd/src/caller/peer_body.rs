//! The response body received from another daemon.

use std::any::Any;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame};
use marigold_request::silence::ConnectionState;
use marigold_types::Address;
use tokio::time::{Sleep, sleep_until};

use crate::peer::{BodyError, PeerLink, PendingRequest, QuicBody, QuicPeers};

/// Reads a response body and fails when its connection has become silent.
pub struct PeerBody {
    body: QuicBody,
    link: PeerLink,
    peers: Arc<QuicPeers>,
    from: Address,
    /// Marks the connection as awaiting data, so that the silence detection is active.
    pending: Option<PendingRequest>,
    silence_timer: Option<Pin<Box<Sleep>>>,
    _guards: Box<dyn Any + Send>,
}

impl PeerBody {
    /// Creates the body of a response from the daemon at `from`; `guards` are dropped with it.
    #[must_use]
    pub fn new(
        body: QuicBody,
        link: PeerLink,
        peers: Arc<QuicPeers>,
        from: Address,
        guards: impl Any + Send,
    ) -> Self {
        Self {
            body,
            link,
            peers,
            from,
            pending: None,
            silence_timer: None,
            _guards: Box::new(guards),
        }
    }

    /// Returns whether the connection is silent; otherwise registers a wake-up for the next check.
    fn poll_silence(&mut self, cx: &mut Context<'_>) -> bool {
        if self.pending.is_none() {
            self.pending = Some(self.link.track_request());
        }
        loop {
            let Some(next) = self.link.next_check() else {
                return false;
            };
            let silence_timer = self
                .silence_timer
                .get_or_insert_with(|| Box::pin(sleep_until(next)));
            if silence_timer.as_mut().poll(cx).is_pending() {
                return false;
            }
            self.silence_timer = None;
            if self.link.check_silence() == ConnectionState::Silent {
                self.peers.retire(self.from, &self.link);
                return true;
            }
        }
    }
}

impl Body for PeerBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match Pin::new(&mut self.body).poll_frame(cx) {
            Poll::Ready(frame) => {
                if let Some(pending) = self.pending.take() {
                    pending.answered();
                }
                self.silence_timer = None;
                Poll::Ready(frame)
            }
            Poll::Pending if self.poll_silence(cx) => Poll::Ready(Some(Err(BodyError::new(
                &"the connection to the other daemon is silent",
            )))),
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }
}
