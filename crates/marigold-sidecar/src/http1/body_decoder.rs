//! Decoding of message bodies.

use bytes::{Buf, BytesMut};
use marigold_http::{is_field_line, parse_chunk_line};

use super::HttpError;
use crate::BodyBuffer;

/// Ends each line of the framing.
const LINE_END: &[u8] = b"\r\n";
/// Limit on the length of a chunk size or trailer line.
const MAX_LINE_BYTES: usize = 4096;
/// Limit on chunk sizes, chunk extensions and trailers of a body together, apart from [`MAX_FRAMING_RATIO`].
const MAX_FRAMING_BYTES: u64 = 64 << 10;
/// Further bytes of framing allowed for each byte of the body: a chunk of one byte has five.
const MAX_FRAMING_RATIO: u64 = 5;

/// Decodes the body of one message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyDecoder {
    next: Part,
    /// Bytes of the framing so far.
    framing_bytes: u64,
}

/// What comes next in the input.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Part {
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
    /// Decodes a message without a body.
    #[must_use]
    pub fn empty() -> Self {
        Self::starting_with(Part::Done)
    }

    /// Decodes a body of `size` bytes.
    #[must_use]
    pub fn with_length(size: u64) -> Self {
        Self::starting_with(Part::Length(size))
    }

    /// Decodes a body with chunked transfer coding.
    #[must_use]
    pub fn chunked() -> Self {
        Self::starting_with(Part::ChunkSize)
    }

    /// Decodes a body that ends when the connection is closed.
    #[must_use]
    pub fn until_close() -> Self {
        Self::starting_with(Part::UntilClose)
    }

    fn starting_with(next: Part) -> Self {
        Self {
            next,
            framing_bytes: 0,
        }
    }

    /// Returns whether the body ends when the connection is closed.
    #[must_use]
    pub fn is_until_close(&self) -> bool {
        self.next == Part::UntilClose
    }

    /// Returns the bytes of the body that are still missing, if its length is known.
    #[must_use]
    pub fn remaining(&self) -> Option<u64> {
        match self.next {
            Part::Length(remaining) => Some(remaining),
            _ => None,
        }
    }

    /// Decodes the available part of the body from `input` into `body`, which may grow to `limit` bytes.
    /// Returns whether the body is complete.
    ///
    /// # Errors
    ///
    /// If the framing is malformed or too large, or the body exceeds `limit`.
    pub fn decode(
        &mut self,
        input: &mut BytesMut,
        body: &mut BodyBuffer,
        limit: u64,
    ) -> Result<bool, HttpError> {
        loop {
            match self.next {
                Part::Done | Part::Length(0) => {
                    self.next = Part::Done;
                    return Ok(true);
                }
                Part::Length(remaining) => {
                    let taken = take_bytes(input, body, remaining, limit)?;
                    self.next = Part::Length(remaining - taken);
                    if taken < remaining {
                        return Ok(false);
                    }
                }
                Part::UntilClose => {
                    take_bytes(input, body, u64::MAX, limit)?;
                    return Ok(false);
                }
                Part::ChunkSize => {
                    let Some(line) = find_line(input)? else {
                        return Ok(false);
                    };
                    let size = parse_chunk_line(line).ok_or(HttpError::Framing)?;
                    let used = line.len() + LINE_END.len();
                    self.skip_framing(input, used, body.len())?;
                    self.next = if size == 0 {
                        Part::Trailer
                    } else {
                        Part::ChunkData(size)
                    };
                }
                Part::ChunkData(remaining) => {
                    let taken = take_bytes(input, body, remaining, limit)?;
                    if taken < remaining {
                        self.next = Part::ChunkData(remaining - taken);
                        return Ok(false);
                    }
                    self.next = Part::ChunkEnd;
                }
                Part::ChunkEnd => {
                    if input.len() < LINE_END.len() {
                        return Ok(false);
                    }
                    if !input.starts_with(LINE_END) {
                        return Err(HttpError::Framing);
                    }
                    self.skip_framing(input, LINE_END.len(), body.len())?;
                    self.next = Part::ChunkSize;
                }
                Part::Trailer => {
                    let Some(line) = find_line(input)? else {
                        return Ok(false);
                    };
                    let is_last = line.is_empty();
                    if !is_last && !is_field_line(line) {
                        return Err(HttpError::Framing);
                    }
                    let used = line.len() + LINE_END.len();
                    self.skip_framing(input, used, body.len())?;
                    if is_last {
                        self.next = Part::Done;
                    }
                }
            }
        }
    }

    /// Removes `count` bytes of the framing from `input`, so that no body consists of framing without end.
    fn skip_framing(
        &mut self,
        input: &mut BytesMut,
        count: usize,
        body_len: usize,
    ) -> Result<(), HttpError> {
        input.advance(count);
        self.framing_bytes += count as u64;
        if self.framing_bytes > MAX_FRAMING_BYTES + MAX_FRAMING_RATIO * body_len as u64 {
            return Err(HttpError::Framing);
        }
        Ok(())
    }
}

/// Returns the next line of the framing without its end, or `None` if it is incomplete.
fn find_line(input: &[u8]) -> Result<Option<&[u8]>, HttpError> {
    let Some(end) = input.iter().position(|byte| *byte == b'\n') else {
        return if input.len() > MAX_LINE_BYTES {
            Err(HttpError::Framing)
        } else {
            Ok(None)
        };
    };
    let line = input[..=end].strip_suffix(LINE_END);
    line.map(Some).ok_or(HttpError::Framing)
}

/// Moves up to `remaining` bytes from `input` to `body`; returns how many.
fn take_bytes(
    input: &mut BytesMut,
    body: &mut BodyBuffer,
    remaining: u64,
    limit: u64,
) -> Result<u64, HttpError> {
    let available = input.len() as u64;
    let taken = available.min(remaining);
    if body.len() as u64 + taken > limit {
        return Err(HttpError::BodySize);
    }
    let count = usize::try_from(taken).map_err(|_| HttpError::BodySize)?;
    body.push(&input[..count]);
    input.advance(count);
    Ok(taken)
}
