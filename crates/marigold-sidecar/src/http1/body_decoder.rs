//! Takes a body out of its framing.

use bytes::{Buf, BytesMut};

use super::HttpError;

/// The longest line of a chunk size or trailer.
const MAX_LINE: usize = 4096;

/// Where a body stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyDecoder {
    /// So many bytes are missing.
    Length(u64),
    /// A chunk's size line comes next.
    ChunkSize,
    /// So many bytes of a chunk are missing.
    ChunkData(u64),
    /// The line end behind a chunk's data comes next.
    ChunkEnd,
    /// Trailer lines come next.
    Trailer,
    /// The body ends with its connection.
    UntilEnd,
    /// The body is complete.
    Done,
}

impl BodyDecoder {
    /// Moves what is there of the body from `input` to `body`, which may grow to `limit`; returns
    /// whether the body is complete.
    ///
    /// # Errors
    ///
    /// When the framing is broken or the body too large.
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
                Self::Length(missing) => {
                    let taken = take(input, body, missing, limit)?;
                    *self = Self::Length(missing - taken);
                    if taken < missing {
                        return Ok(false);
                    }
                }
                Self::UntilEnd => {
                    take(input, body, u64::MAX, limit)?;
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
                    Ok(httparse::Status::Partial) if input.len() <= MAX_LINE => return Ok(false),
                    _ => return Err(HttpError::Framing),
                },
                Self::ChunkData(missing) => {
                    let taken = take(input, body, missing, limit)?;
                    if taken < missing {
                        *self = Self::ChunkData(missing - taken);
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
                        if input.len() > MAX_LINE {
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

fn take(
    input: &mut BytesMut,
    body: &mut BytesMut,
    missing: u64,
    limit: u64,
) -> Result<u64, HttpError> {
    let there = input.len() as u64;
    let taken = there.min(missing);
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
