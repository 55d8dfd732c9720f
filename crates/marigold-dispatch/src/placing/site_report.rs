//! Load reports of executors.

use std::time::Duration;

use marigold_types::{ServiceName, SlotCount};
use serde::{Deserialize, Serialize};

/// The load of an executor's backend server, for placement decisions. It is attached to replies and also sent
/// when it changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SiteReport {
    /// The service of the backend server, or `None` while no backend server accepts requests.
    pub service: Option<ServiceName>,
    /// The number of requests that the backend server processes concurrently.
    pub slots: SlotCount,
    /// The number of running requests.
    pub busy: SlotCount,
    /// The number of requests that wait for a slot.
    pub queued: SlotCount,
    /// The average run time of all its requests.
    pub mean_run: Duration,
}
