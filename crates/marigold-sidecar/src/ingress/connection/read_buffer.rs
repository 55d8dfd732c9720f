//! Bytes that were read but not yet parsed.

use std::io;

use bytes::{BufMut, BytesMut};
use tokio::net::TcpStream;

/// Bytes read at once while a head is expected.
const HEAD_READ_BYTES: usize = 4 << 10;
/// Bytes read at once while a body arrives.
const BODY_READ_BYTES: usize = 16 << 10;

/// The input of a connection. It has no memory while it is empty.
#[derive(Debug, Default)]
pub struct ReadBuffer {
    pub bytes: BytesMut,
    /// Bytes allocated. The capacity of `bytes` is less, since it ends where the parsed bytes do.
    allocated: usize,
}

impl ReadBuffer {
    /// Returns the bytes allocated.
    pub fn allocated(&self) -> usize {
        self.allocated
    }

    /// Returns the bytes to read next.
    pub fn next_read(is_mid_body: bool) -> usize {
        if is_mid_body {
            BODY_READ_BYTES
        } else {
            HEAD_READ_BYTES
        }
    }

    /// Returns the bytes that are allocated after up to `count` more have been read.
    pub fn allocated_after(&self, count: usize) -> usize {
        if self.room() >= count {
            return self.allocated;
        }
        (self.bytes.len() + count).next_power_of_two()
    }

    /// Reads up to `count` bytes that have arrived; returns how many.
    ///
    /// # Errors
    ///
    /// If the connection has failed, or nothing has arrived.
    pub fn read(&mut self, stream: &TcpStream, count: usize) -> io::Result<usize> {
        if self.room() < count {
            self.allocated = self.allocated_after(count);
            let mut bytes = BytesMut::with_capacity(self.allocated);
            bytes.extend_from_slice(&self.bytes);
            self.bytes = bytes;
        }
        stream.try_read_buf(&mut (&mut self.bytes).limit(count))
    }

    /// Frees the memory if nothing is left to parse.
    pub fn release_if_empty(&mut self) {
        if self.bytes.is_empty() {
            self.release();
        }
    }

    /// Drops all bytes.
    pub fn release(&mut self) {
        self.bytes = BytesMut::new();
        self.allocated = 0;
    }

    fn room(&self) -> usize {
        self.bytes.capacity() - self.bytes.len()
    }
}
