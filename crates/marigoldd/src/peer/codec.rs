//! Frames between daemons: a length of four bytes, then a message encoded with `postcard`.

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use quinn::RecvStream;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio_util::codec::{Encoder, FramedRead, LengthDelimitedCodec};

/// The maximum frame size, which limits the memory that a peer can make a daemon allocate.
pub const MAX_FRAME_BYTES: usize = 2 << 20;
const LENGTH_BYTES: usize = 4;

/// A stream read as frames.
pub type Frames = FramedRead<RecvStream, LengthDelimitedCodec>;

/// Why a frame could not be read or written.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The stream ended before a frame was complete.
    #[error("the stream ended before a complete frame")]
    Ended,
    /// The stream was reset, or a frame exceeds the limit.
    #[error("the stream failed: {0}")]
    Stream(String),
    /// The message could not be decoded or encoded.
    #[error("the frame is no message: {0}")]
    Malformed(String),
    /// The encoded message exceeds [`MAX_FRAME_BYTES`]; holds its size in bytes.
    #[error("the message of {0} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes")]
    TooLarge(usize),
}

/// Reads `stream` as frames.
#[must_use]
pub fn frames(stream: RecvStream) -> Frames {
    FramedRead::new(stream, codec())
}

/// Encodes `message` as one frame.
///
/// # Errors
///
/// If it exceeds [`MAX_FRAME_BYTES`].
pub fn encode<T: Serialize>(message: &T) -> Result<Bytes, FrameError> {
    let body =
        postcard::to_stdvec(message).map_err(|error| FrameError::Malformed(error.to_string()))?;
    frame(Bytes::from(body))
}

/// Wraps an encoded message in a frame.
///
/// # Errors
///
/// If it exceeds [`MAX_FRAME_BYTES`].
pub fn frame(body: Bytes) -> Result<Bytes, FrameError> {
    let length = body.len();
    let mut buffer = BytesMut::with_capacity(LENGTH_BYTES + length);
    codec()
        .encode(body, &mut buffer)
        .map_err(|_| FrameError::TooLarge(length))?;
    Ok(buffer.freeze())
}

/// Reads the content of one frame; returns `None` at the end of the stream.
///
/// # Errors
///
/// If the stream fails or the frame is too large.
pub async fn read_raw(frames: &mut Frames) -> Result<Option<BytesMut>, FrameError> {
    frames
        .next()
        .await
        .transpose()
        .map_err(|error| FrameError::Stream(error.to_string()))
}

/// Reads and decodes one message.
///
/// # Errors
///
/// If the stream fails or ends, or the frame does not decode to a `T`.
pub async fn read<T: DeserializeOwned>(frames: &mut Frames) -> Result<T, FrameError> {
    let body = read_raw(frames).await?.ok_or(FrameError::Ended)?;
    postcard::from_bytes(&body).map_err(|error| FrameError::Malformed(error.to_string()))
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}
