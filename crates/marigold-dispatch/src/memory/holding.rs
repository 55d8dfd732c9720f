//! What a daemon holds for one caller.

use marigold_types::ByteSize;
use tokio::time::Instant;

/// What the bytes belong to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HoldingKind {
    /// A request that is still arriving.
    Request,
    /// Responses that the caller has not read yet.
    Response,
    /// A connection without any request.
    Idle,
}

/// Bytes that a daemon holds for a caller and can give up without a request being cut off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holding {
    /// What they belong to.
    pub kind: HoldingKind,
    /// How many there are.
    pub size: ByteSize,
    /// When the first of them arrived.
    pub began_at: Instant,
    /// When the caller last sent or read a part worth counting.
    pub moved_at: Instant,
    /// When the caller stops waiting, if the request says so.
    pub expires_at: Option<Instant>,
}

impl Holding {
    /// Returns whether the caller has stopped sending or reading, or is too slow to finish in its own time.
    pub(super) fn is_stalled(&self, stall_time: std::time::Duration, now: Instant) -> bool {
        let is_expired = self.expires_at.is_some_and(|at| at <= now);
        is_expired || now.saturating_duration_since(self.moved_at) >= stall_time
    }
}
