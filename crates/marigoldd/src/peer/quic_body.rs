//! Bodies on streams between daemons: raw bytes, then a finish if complete or a reset if truncated.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, SizeHint};
use quinn::RecvStream;

use super::CallSend;
use super::codec::Frames;

/// The maximum size of one read.
const MAX_CHUNK_BYTES: usize = 64 << 10;

/// A body that ended before it was complete.
#[derive(Debug, Clone, thiserror::Error)]
#[error("the body was truncated: {reason}")]
pub struct BodyError {
    /// The cause.
    pub reason: String,
}

impl BodyError {
    /// Creates the error of a body that was truncated for `reason`.
    #[must_use]
    pub fn new(reason: &dyn ToString) -> Self {
        Self {
            reason: reason.to_string(),
        }
    }
}

/// The remaining data of a stream as a body.
pub struct QuicBody {
    buffered: Bytes,
    stream: RecvStream,
    ended: bool,
}

impl QuicBody {
    /// Creates the body of the data that follows the frames read so far.
    #[must_use]
    pub fn new(frames: Frames) -> Self {
        let buffered = frames.read_buffer().clone().freeze();
        Self {
            buffered,
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
        if !self.buffered.is_empty() {
            let buffered = std::mem::take(&mut self.buffered);
            return Poll::Ready(Some(Ok(Frame::data(buffered))));
        }
        if self.ended {
            return Poll::Ready(None);
        }
        let read = std::pin::pin!(self.stream.read_chunk(MAX_CHUNK_BYTES, true)).poll(cx);
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
        self.ended && self.buffered.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}

/// Why a body was not sent completely.
#[derive(Debug, Clone, thiserror::Error)]
pub enum PumpError {
    /// The source of the body was truncated.
    #[error("{0}")]
    Source(#[from] BodyError),
    /// The peer stopped reading, or the connection was lost.
    #[error("the other daemon stopped reading: {0}")]
    Sink(String),
}

/// Sends `body` and finishes the stream.
///
/// # Errors
///
/// If the body is truncated or the peer stops reading. The stream is then reset when `send` is
/// dropped.
pub async fn pump<B>(mut body: B, send: &mut CallSend) -> Result<(), PumpError>
where
    B: Body<Data = Bytes, Error = BodyError> + Unpin,
{
    while let Some(frame) = body.frame().await {
        // Trailers are not forwarded.
        if let Ok(data) = frame?.into_data() {
            let written = send.write(data).await;
            written.map_err(|error| PumpError::Sink(error.to_string()))?;
        }
    }
    send.finish();
    Ok(())
}
