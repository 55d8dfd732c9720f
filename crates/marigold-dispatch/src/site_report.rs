//! What an executor says of its backend server.

use std::time::Duration;

use marigold_types::{ServiceName, SlotCount};
use serde::{Deserialize, Serialize};

/// Rides on answers and is sent when it changes, so that whoever places requests knows the load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SiteReport {
    /// The service that the backend server runs, none while there is none that takes work.
    pub service: Option<ServiceName>,
    /// Requests that it runs at once.
    pub slots: SlotCount,
    /// Requests that run now.
    pub busy: SlotCount,
    /// Requests that wait for a slot.
    pub queued: SlotCount,
    /// The average run time of all its work.
    pub mean_run: Duration,
}
