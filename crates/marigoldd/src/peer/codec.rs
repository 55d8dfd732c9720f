//! Frames between daemons: a length of four bytes, then `postcard`.

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use quinn::RecvStream;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio_util::codec::{Encoder, FramedRead, LengthDelimitedCodec};

/// The largest frame; it bounds what a peer can make a daemon hold.
pub const MAX_FRAME_BYTES: usize = 2 << 20;
const LENGTH_BYTES: usize = 4;

/// Frames read from one stream.
pub type Frames = FramedRead<RecvStream, LengthDelimitedCodec>;

/// Why a frame could not be read or written.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The stream ended where a frame was due.
    #[error("the stream ended before the frame")]
    Ended,
    /// The stream failed.
    #[error("the stream failed: {0}")]
    Stream(String),
    /// The bytes are no message.
    #[error("the frame is no message: {0}")]
    Malformed(String),
    /// The message is larger than a frame may be.
    #[error("the message has {0} bytes, allowed are {MAX_FRAME_BYTES}")]
    TooLarge(usize),
}

/// Starts to read frames from `stream`.
#[must_use]
pub fn frames(stream: RecvStream) -> Frames {
    FramedRead::new(stream, codec())
}

/// Returns `message` as one frame.
///
/// # Errors
///
/// When it is larger than a frame may be.
pub fn encode<T: Serialize>(message: &T) -> Result<Bytes, FrameError> {
    let body =
        postcard::to_stdvec(message).map_err(|error| FrameError::Malformed(error.to_string()))?;
    frame(Bytes::from(body))
}

/// Returns the frame of a message that is encoded already.
///
/// # Errors
///
/// When it is larger than a frame may be.
pub fn frame(body: Bytes) -> Result<Bytes, FrameError> {
    let length = body.len();
    let mut buffer = BytesMut::with_capacity(LENGTH_BYTES + length);
    codec()
        .encode(body, &mut buffer)
        .map_err(|_| FrameError::TooLarge(length))?;
    Ok(buffer.freeze())
}

/// Reads the bytes of one frame; `None` at the end of the stream.
///
/// # Errors
///
/// When the stream fails or the frame is too large.
pub async fn read_raw(frames: &mut Frames) -> Result<Option<BytesMut>, FrameError> {
    frames
        .next()
        .await
        .transpose()
        .map_err(|error| FrameError::Stream(error.to_string()))
}

/// Reads one message.
///
/// # Errors
///
/// When the stream fails or ends, or the frame is no such message.
pub async fn read<T: DeserializeOwned>(frames: &mut Frames) -> Result<T, FrameError> {
    let body = read_raw(frames).await?.ok_or(FrameError::Ended)?;
    postcard::from_bytes(&body).map_err(|error| FrameError::Malformed(error.to_string()))
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}
