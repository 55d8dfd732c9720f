//! The recent demand of requests for slot time.

use std::time::Duration;

use tokio::time::Instant;

/// The time constant of the exponential decay of demand.
pub const DEMAND_DECAY_TIME: Duration = Duration::from_secs(2);

/// Requested run time per second, which decays exponentially.
#[derive(Debug, Clone, Copy)]
pub struct Demand {
    /// Seconds of run time per second.
    amount: f64,
    updated_at: Instant,
}

impl Demand {
    pub fn new(now: Instant) -> Self {
        Self {
            amount: 0.0,
            updated_at: now,
        }
    }

    pub fn add(&mut self, run: Duration, now: Instant) {
        self.amount = self.at(now) + run.as_secs_f64() / DEMAND_DECAY_TIME.as_secs_f64();
        self.updated_at = now;
    }

    pub fn at(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.amount * (-age / DEMAND_DECAY_TIME.as_secs_f64()).exp()
    }
}
