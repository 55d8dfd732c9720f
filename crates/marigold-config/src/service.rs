//! What operators declare of a service.

use std::sync::Arc;

use marigold_types::{Interval, SlotCount};
use serde::{Deserialize, Serialize};

/// A service and the rules for its backend servers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// The path that a backend server answers health probes on.
    pub health: Arc<str>,
    /// How many requests one backend server runs at once.
    pub slots: SlotCount,
    /// How many connections one backend server accepts.
    pub connections: u32,
    /// How long a backend server that has just joined takes to reach full speed.
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
