//! Requests that wait for a slot.

use std::time::Duration;

use tokio::time::Instant;

use crate::SlotRequest;
use crate::admission::queue_key::QueueKey;

/// A request in a queue.
#[derive(Debug, Clone)]
pub struct WaitingRequest {
    pub request: SlotRequest,
    pub key: QueueKey,
    /// The expected run time that was added to its queue.
    pub expected_run: Duration,
    pub arrived_at: Instant,
}
