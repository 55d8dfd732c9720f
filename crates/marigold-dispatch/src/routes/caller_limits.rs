//! Size and time limits for caller connections.

use std::time::Duration;

use marigold_types::ByteSize;

/// The limits for one caller connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// The maximum size of a request head.
    pub max_head: ByteSize,
    /// The maximum size of a request body.
    pub max_body: ByteSize,
    /// The time allowed for a complete request head, from its first byte.
    pub head_timeout: Duration,
    /// The time a connection may stay open without a request.
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
