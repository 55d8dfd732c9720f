//! The injected faults in force.

use std::time::Duration;

use marigold_types::SlotCount;

use super::{BackendControl, BackendPlan, HealthMode};

/// The injected faults of a stand-in.
#[derive(Debug, Clone)]
pub struct BackendFaults {
    /// Whether new requests are refused.
    pub draining: bool,
    /// The state that the health and load endpoints report.
    pub health: HealthMode,
    /// Connections with a lower number do not respond.
    pub silent_below: u64,
    /// The number of requests that run at once.
    pub slots: SlotCount,
    /// Delay added to each request.
    pub added_delay: Duration,
    /// Whether every request is answered with status 500 after it ran.
    pub failing: bool,
}

impl BackendFaults {
    /// Returns a state without faults.
    pub fn new(plan: &BackendPlan) -> Self {
        Self {
            draining: false,
            health: HealthMode::Honest,
            silent_below: 0,
            slots: plan.slots,
            added_delay: Duration::ZERO,
            failing: false,
        }
    }

    /// Applies `order`. `next_connection` is the number that the next connection gets.
    pub fn apply(&mut self, order: &BackendControl, next_connection: u64) {
        self.draining = order.draining.unwrap_or(self.draining);
        self.health = order.health.unwrap_or(self.health);
        self.slots = order.slots.unwrap_or(self.slots);
        self.added_delay = order
            .extra_ms
            .map_or(self.added_delay, Duration::from_millis);
        self.failing = order.failing.unwrap_or(self.failing);
        if order.silence {
            self.silent_below = next_connection;
        }
    }
}
