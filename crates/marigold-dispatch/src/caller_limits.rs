//! What callers may send and how long they may take.

use std::time::Duration;

use marigold_types::ByteSize;

/// Bounds on one caller's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// The largest head of a request.
    pub max_head: ByteSize,
    /// The largest body of a request.
    pub max_body: ByteSize,
    /// How long a head may take from its first byte.
    pub head_timeout: Duration,
    /// How long a connection may stay without a request.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_head: ByteSize(16 << 10),
            max_body: ByteSize(64 << 20),
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
