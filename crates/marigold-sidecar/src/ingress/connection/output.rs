//! Responses that the caller has not read yet.

use std::collections::VecDeque;
use std::io::{self, IoSlice};

use bytes::{Buf, Bytes, BytesMut};
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::http1::{Response, encode_response_head, response_head_size};

/// Bodies up to this size are copied behind the head, so that they are written at once.
const MAX_COPIED_BYTES: usize = 16 << 10;
/// Parts that are written at once.
const MAX_WRITTEN_PARTS: usize = 16;
/// A caller that reads fewer bytes counts as still.
const MIN_PROGRESS_BYTES: usize = 16 << 10;

/// The output of a connection.
#[derive(Debug)]
pub struct Output {
    parts: VecDeque<Bytes>,
    len: usize,
    /// Bytes of heads and copied bodies, which no other part of the process accounts for.
    own_bytes: usize,
    /// Whether the connection is closed once all has been written.
    closes: bool,
    began_at: Instant,
    moved_at: Instant,
    /// Bytes written since `moved_at`.
    written: usize,
}

impl Output {
    /// Creates an empty output.
    pub fn new(now: Instant) -> Self {
        Self {
            parts: VecDeque::new(),
            len: 0,
            own_bytes: 0,
            closes: false,
            began_at: now,
            moved_at: now,
            written: 0,
        }
    }

    /// Returns whether all has been written.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the bytes that have not been written.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns the bytes that this output allocated itself.
    pub fn own_bytes(&self) -> usize {
        self.own_bytes
    }

    /// Returns whether the connection is closed once all has been written.
    pub fn closes(&self) -> bool {
        self.closes
    }

    /// Returns when the first unwritten response came.
    pub fn began_at(&self) -> Instant {
        self.began_at
    }

    /// Returns when the caller last read a part.
    pub fn moved_at(&self) -> Instant {
        self.moved_at
    }

    /// Starts the time in which the caller has to read a response.
    pub fn begin(&mut self, now: Instant) {
        self.began_at = now;
        self.moved_at = now;
        self.written = 0;
    }

    /// Adds a response. `closes` is whether it is the last one, `bodiless` whether its body is omitted.
    pub fn push_response(&mut self, response: &Response, closes: bool, bodiless: bool) {
        let is_copied = response.body.len() <= MAX_COPIED_BYTES;
        let copied = if is_copied { response.body.len() } else { 0 };
        let mut head = BytesMut::with_capacity(response_head_size(response) + copied);
        let extra = if closes { "Connection: close\r\n" } else { "" };
        let has_body = encode_response_head(&mut head, response, extra, bodiless);
        if has_body && is_copied {
            for segment in response.body.segments() {
                head.extend_from_slice(segment);
            }
        }
        self.push(head.freeze());
        if has_body && !is_copied {
            for segment in response.body.segments() {
                self.len += segment.len();
                self.parts.push_back(segment.clone());
            }
        }
        self.closes = closes;
    }

    /// Adds bytes.
    pub fn push(&mut self, bytes: Bytes) {
        self.len += bytes.len();
        self.own_bytes += bytes.len();
        self.parts.push_back(bytes);
    }

    /// Writes as much as the caller takes now.
    ///
    /// # Errors
    ///
    /// If the connection has failed.
    pub fn write(&mut self, stream: &TcpStream, now: Instant) -> io::Result<()> {
        while !self.is_empty() {
            let mut slices = [IoSlice::new(&[]); MAX_WRITTEN_PARTS];
            for (slice, part) in slices.iter_mut().zip(&self.parts) {
                *slice = IoSlice::new(part);
            }
            let count = self.parts.len().min(MAX_WRITTEN_PARTS);
            match stream.try_write_vectored(&slices[..count]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(written) => self.advance(written, now),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) => return Err(error),
            }
        }
        self.own_bytes = 0;
        Ok(())
    }

    fn advance(&mut self, mut written: usize, now: Instant) {
        self.len -= written;
        self.written += written;
        if self.written >= MIN_PROGRESS_BYTES {
            self.written = 0;
            self.moved_at = now;
        }
        while let Some(part) = self.parts.front_mut() {
            if part.len() > written {
                return part.advance(written);
            }
            written -= part.len();
            self.parts.pop_front();
        }
    }
}
