//! Progress of a request that is arriving.

use tokio::time::Instant;

/// A caller that sends fewer bytes counts as still: single bytes would let it hold a body for as long as it likes.
const MIN_PROGRESS_BYTES: usize = 16 << 10;

/// When a request began to arrive, and when a part of it last did.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    began_at: Instant,
    moved_at: Instant,
    heard_at: Instant,
    /// Bytes since `moved_at`.
    bytes: usize,
}

impl Arrival {
    /// Creates the arrival of a request that begins now.
    pub fn new(now: Instant) -> Self {
        Self {
            began_at: now,
            moved_at: now,
            heard_at: now,
            bytes: 0,
        }
    }

    /// Returns when the request began to arrive.
    pub fn began_at(&self) -> Instant {
        self.began_at
    }

    /// Returns when a part of it last arrived.
    pub fn moved_at(&self) -> Instant {
        self.moved_at
    }

    /// Returns when the last byte arrived.
    pub fn heard_at(&self) -> Instant {
        self.heard_at
    }

    /// Records `count` bytes.
    pub fn record(&mut self, count: usize, now: Instant) {
        self.bytes += count;
        self.heard_at = now;
        if self.bytes >= MIN_PROGRESS_BYTES {
            self.bytes = 0;
            self.moved_at = now;
        }
    }
}
