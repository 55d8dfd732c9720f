//! Decoding of message bodies.

use bytes::{Buf, BytesMut};

use super::HttpError;

/// Limit on the length of a chunk size or trailer line.
const MAX_LINE_BYTES: usize = 4096;

/// State of the decoder: what comes next in the input.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyDecoder {
    /// This many more bytes of a body with known length.
    Length(u64),
    /// Size line of a chunk.
    ChunkSize,
    /// This many more bytes of a chunk.
    ChunkData(u64),
    /// Line break after the data of a chunk.
    ChunkEnd,
    /// Trailer lines, which are discarded.
    Trailer,
    /// Body data until the connection is closed.
    UntilClose,
    /// Nothing, the body is complete.
    Done,
}

impl BodyDecoder {
    /// Decodes the available part of the body from `input` into `body`, which may grow to `limit` bytes.
    /// Returns whether the body is complete.
    ///
    /// # Errors
    ///
    /// If the framing is malformed or the body exceeds `limit`.
    pub fn decode(
        &mut self,
        input: &mut BytesMut,
        body: &mut BytesMut,
        limit: u64,
    ) -> Result<bool, HttpError> {
        loop {
            match *self {
                Self::Done | Self::Length(0) => {
                    *self = Self::Done;
                    return Ok(true);
                }
                Self::Length(remaining) => {
                    let taken = take_bytes(input, body, remaining, limit)?;
                    *self = Self::Length(remaining - taken);
                    if taken < remaining {
                        return Ok(false);
                    }
                }
                Self::UntilClose => {
                    take_bytes(input, body, u64::MAX, limit)?;
                    return Ok(false);
                }
                Self::ChunkSize => match httparse::parse_chunk_size(input) {
                    Ok(httparse::Status::Complete((used, size))) => {
                        input.advance(used);
                        *self = if size == 0 {
                            Self::Trailer
                        } else {
                            Self::ChunkData(size)
                        };
                    }
                    Ok(httparse::Status::Partial) if input.len() <= MAX_LINE_BYTES => {
                        return Ok(false);
                    }
                    _ => return Err(HttpError::Framing),
                },
                Self::ChunkData(remaining) => {
                    let taken = take_bytes(input, body, remaining, limit)?;
                    if taken < remaining {
                        *self = Self::ChunkData(remaining - taken);
                        return Ok(false);
                    }
                    *self = Self::ChunkEnd;
                }
                Self::ChunkEnd => {
                    if input.len() < 2 {
                        return Ok(false);
                    }
                    if &input[..2] != b"\r\n" {
                        return Err(HttpError::Framing);
                    }
                    input.advance(2);
                    *self = Self::ChunkSize;
                }
                Self::Trailer => {
                    let Some(end) = input.windows(2).position(|pair| pair == b"\r\n") else {
                        if input.len() > MAX_LINE_BYTES {
                            return Err(HttpError::Framing);
                        }
                        return Ok(false);
                    };
                    input.advance(end + 2);
                    if end == 0 {
                        *self = Self::Done;
                    }
                }
            }
        }
    }
}

/// Moves up to `remaining` bytes from `input` to `body`, without a copy if possible; returns how many.
fn take_bytes(
    input: &mut BytesMut,
    body: &mut BytesMut,
    remaining: u64,
    limit: u64,
) -> Result<u64, HttpError> {
    let available = input.len() as u64;
    let taken = available.min(remaining);
    if body.len() as u64 + taken > limit {
        return Err(HttpError::BodySize);
    }
    let count = usize::try_from(taken).map_err(|_| HttpError::BodySize)?;
    if body.is_empty() && count == input.len() {
        std::mem::swap(input, body);
    } else {
        body.extend_from_slice(&input[..count]);
        input.advance(count);
    }
    Ok(taken)
}
