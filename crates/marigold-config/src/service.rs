//! Services.

use std::sync::Arc;

use marigold_types::{Interval, SlotCount};
use serde::{Deserialize, Serialize};

/// The parameters of a service and its backend servers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// The path of the health probes of its backend servers.
    pub health: Arc<str>,
    /// The number of requests that one backend server runs concurrently.
    pub slots: SlotCount,
    /// The number of connections that one backend server accepts.
    pub connections: u32,
    /// The time that a newly joined backend server takes to reach its full capacity.
    pub warmup: Interval,
}

impl Default for Service {
    fn default() -> Self {
        Self {
            health: Arc::from("/health"),
            slots: SlotCount(8),
            connections: 100,
            warmup: Interval::from_millis(10_000),
        }
    }
}
