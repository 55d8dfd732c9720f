//! The load of an executor.

use marigold_types::SlotCount;
use serde::{Deserialize, Serialize};

/// The load of an executor, sent with each reply; daemons without calls to it do not receive it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The number of running requests.
    pub busy: SlotCount,
    /// The number of requests that wait for a slot.
    pub queued: SlotCount,
    /// The maximum number of concurrent requests.
    pub slots: SlotCount,
}
