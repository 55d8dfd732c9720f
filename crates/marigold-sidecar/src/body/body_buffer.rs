//! Bodies that arrive.

use bytes::{Bytes, BytesMut};

use super::Body;

/// Size of the segments of a large body.
pub const SEGMENT_BYTES: usize = 64 << 10;
/// Least size of a segment after the first.
const MIN_SEGMENT_BYTES: usize = 1 << 10;

/// The part of a body that has arrived.
#[derive(Debug, Default)]
pub struct BodyBuffer {
    full: Vec<Bytes>,
    /// The last segment, which may have room.
    tail: BytesMut,
    len: usize,
    /// Bytes allocated for all segments.
    allocated: usize,
}

impl BodyBuffer {
    /// Returns the length in bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether nothing has arrived.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the bytes allocated.
    #[must_use]
    pub fn allocated(&self) -> usize {
        self.allocated
    }

    /// Returns the bytes that are allocated after `count` more have been added, at most.
    #[must_use]
    pub fn allocated_after(&self, count: usize) -> usize {
        let missing = count.saturating_sub(self.room());
        if missing == 0 {
            self.allocated
        } else {
            self.allocated + self.next_segment(count).max(missing)
        }
    }

    /// Appends `bytes`.
    pub fn push(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            if self.room() == 0 {
                self.seal();
                let size = self.next_segment(bytes.len());
                self.tail = BytesMut::with_capacity(size);
                self.allocated += size;
            }
            let (now, later) = bytes.split_at(bytes.len().min(self.room()));
            self.tail.extend_from_slice(now);
            self.len += now.len();
            bytes = later;
        }
    }

    /// Returns the complete body, without room at its end.
    #[must_use]
    pub fn finish(mut self) -> Body {
        if self.room() > 0 {
            self.full.push(Bytes::copy_from_slice(&self.tail));
        } else {
            self.seal();
        }
        Body::from_iter(self.full)
    }

    fn room(&self) -> usize {
        self.tail.capacity() - self.tail.len()
    }

    /// The first segment is as large as what it is allocated for, since most bodies arrive whole. Later ones double the
    /// body until they have their full size.
    fn next_segment(&self, count: usize) -> usize {
        if self.len == 0 {
            return count.min(SEGMENT_BYTES);
        }
        self.len.clamp(MIN_SEGMENT_BYTES, SEGMENT_BYTES)
    }

    fn seal(&mut self) {
        if !self.tail.is_empty() {
            self.full.push(std::mem::take(&mut self.tail).freeze());
        }
    }
}
