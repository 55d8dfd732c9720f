//! The misbehaviour in force.

use std::time::Duration;

use marigold_types::SlotCount;

use super::{BackendControl, BackendPlan, HealthMode};

/// What the stand-in does wrong now.
#[derive(Debug, Clone)]
pub struct BackendFaults {
    /// Whether new work is refused.
    pub draining: bool,
    /// What the health and load endpoints say.
    pub health: HealthMode,
    /// Connections numbered below this are silent.
    pub silent: u64,
    /// Requests that run at once.
    pub slots: SlotCount,
    /// Time added to each request.
    pub extra: Duration,
    /// Whether every request is answered 500 after it ran.
    pub failing: bool,
}

impl BackendFaults {
    /// Starts without any.
    pub fn new(plan: &BackendPlan) -> Self {
        Self {
            draining: false,
            health: HealthMode::Honest,
            silent: 0,
            slots: plan.slots,
            extra: Duration::ZERO,
            failing: false,
        }
    }

    /// Makes the changes of `order`; `next` is the number of the next connection.
    pub fn apply(&mut self, order: &BackendControl, next: u64) {
        self.draining = order.draining.unwrap_or(self.draining);
        self.health = order.health.unwrap_or(self.health);
        self.slots = order.slots.unwrap_or(self.slots);
        self.extra = order.extra_ms.map_or(self.extra, Duration::from_millis);
        self.failing = order.failing.unwrap_or(self.failing);
        if order.silence {
            self.silent = next;
        }
    }
}
