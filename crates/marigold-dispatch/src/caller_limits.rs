//! What callers may send and how long they may take.

use std::time::Duration;

use marigold_types::ByteSize;

/// Bounds on one caller's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// The largest head of a request.
    pub head: ByteSize,
    /// The largest body of a request.
    pub body: ByteSize,
    /// How long a head may take from its first byte.
    pub head_time: Duration,
    /// How long a connection may stay without a request.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head: ByteSize(16 << 10),
            body: ByteSize(64 << 20),
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}
