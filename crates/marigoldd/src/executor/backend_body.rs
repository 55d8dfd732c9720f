//! The streamed body of a backend server's answer.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use super::backend_pool::{BackendConnection, BackendPool};
use crate::peer::BodyError;

/// An answer's body, which returns its connection to the pool once it has been read to its end.
pub struct BackendBody {
    incoming: Incoming,
    connection: Option<BackendConnection>,
    pool: Arc<BackendPool>,
}

impl BackendBody {
    pub(super) fn new(
        incoming: Incoming,
        connection: BackendConnection,
        pool: Arc<BackendPool>,
    ) -> Self {
        Self {
            incoming,
            connection: Some(connection),
            pool,
        }
    }

    fn release_connection(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.pool.release(connection);
        }
    }
}

impl Body for BackendBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = ready!(Pin::new(&mut self.incoming).poll_frame(cx));
        match frame {
            Some(Ok(frame)) => Poll::Ready(Some(Ok(frame))),
            Some(Err(error)) => {
                self.connection = None;
                Poll::Ready(Some(Err(BodyError::new(&error))))
            }
            None => {
                self.release_connection();
                Poll::Ready(None)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        // The end must be read even when it is known, since reading it releases the connection.
        self.connection.is_none() && self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
