//! Bodies over streams between daemons: raw bytes, an end when whole, a reset when cut off.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, SizeHint};
use quinn::RecvStream;

use super::CallSend;
use super::codec::Frames;

/// The most bytes of one read.
const CHUNK_BYTES: usize = 64 << 10;

/// A body that did not come to its end.
#[derive(Debug, Clone, thiserror::Error)]
#[error("the body was cut off: {reason}")]
pub struct BodyError {
    /// Why.
    pub reason: String,
}

impl BodyError {
    /// Builds the error of a body that was cut off for `reason`.
    #[must_use]
    pub fn new(reason: &dyn ToString) -> Self {
        Self {
            reason: reason.to_string(),
        }
    }
}

/// The rest of a stream as a body.
pub struct QuicBody {
    head: Bytes,
    stream: RecvStream,
    ended: bool,
}

impl QuicBody {
    /// Takes over what follows the frames that were read.
    #[must_use]
    pub fn new(frames: Frames) -> Self {
        let head = frames.read_buffer().clone().freeze();
        Self {
            head,
            stream: frames.into_inner(),
            ended: false,
        }
    }
}

impl Body for QuicBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if !self.head.is_empty() {
            let head = std::mem::take(&mut self.head);
            return Poll::Ready(Some(Ok(Frame::data(head))));
        }
        if self.ended {
            return Poll::Ready(None);
        }
        let read = std::pin::pin!(self.stream.read_chunk(CHUNK_BYTES, true)).poll(cx);
        match std::task::ready!(read) {
            Ok(Some(chunk)) => Poll::Ready(Some(Ok(Frame::data(chunk.bytes)))),
            Ok(None) => {
                self.ended = true;
                Poll::Ready(None)
            }
            Err(error) => {
                self.ended = true;
                Poll::Ready(Some(Err(BodyError::new(&error))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.ended && self.head.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}

/// Why a body was not sent whole.
#[derive(Debug, Clone, thiserror::Error)]
pub enum PumpError {
    /// Its source was cut off.
    #[error("{0}")]
    Source(#[from] BodyError),
    /// Nobody reads it.
    #[error("the other daemon stopped reading: {0}")]
    Sink(String),
}

/// Sends `body` whole, or cuts the stream off.
///
/// # Errors
///
/// When the body is cut off or nobody reads it.
pub async fn pump<B>(mut body: B, send: &mut CallSend) -> Result<(), PumpError>
where
    B: Body<Data = Bytes, Error = BodyError> + Unpin,
{
    while let Some(frame) = body.frame().await {
        // Trailers are not handed on.
        if let Ok(data) = frame?.into_data() {
            let written = send.write(data).await;
            written.map_err(|error| PumpError::Sink(error.to_string()))?;
        }
    }
    send.finish();
    Ok(())
}
