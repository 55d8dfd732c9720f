//! How busy an executor is.

use marigold_types::SlotCount;
use serde::{Deserialize, Serialize};

/// Rides back on each answer, so that load is known to those who call and to nobody else.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests running now.
    pub busy: SlotCount,
    /// Requests waiting for a slot.
    pub queued: SlotCount,
    /// Requests that may run at once.
    pub slots: SlotCount,
}
