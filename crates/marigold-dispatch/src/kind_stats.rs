//! Run time and demand statistics of one kind of request.

use std::time::Duration;

use tokio::time::Instant;

use crate::rank::LATE_VALUE_RATIO;
use crate::{Rank, RunTime};

/// The time constant of the exponential decay of demand.
pub const DEMAND_DECAY_TIME: Duration = Duration::from_secs(2);
/// The minimum run time for urgency; shorter runs count as this long.
const MIN_RUN_TIME: Duration = Duration::from_millis(1);

/// The statistics of one kind of request.
#[derive(Debug, Clone)]
pub struct KindStats {
    pub rank: Rank,
    pub run_time: RunTime,
    /// The run time assumed until the first run has ended.
    initial_run: Duration,
    /// The recent demand, in seconds of run time per second.
    demand: f64,
    demand_at: Instant,
}

impl KindStats {
    pub fn new(rank: Rank, initial_run: Duration, now: Instant) -> Self {
        Self {
            rank,
            run_time: RunTime::default(),
            initial_run,
            demand: 0.0,
            demand_at: now,
        }
    }

    pub fn run(&self) -> Duration {
        self.run_time.mean_or(self.initial_run)
    }

    /// Returns the request value gained per request, which counts where requests are limited rather than slots.
    pub fn value(&self, late: bool) -> f64 {
        let value_ratio = if late { LATE_VALUE_RATIO } else { 1.0 };
        value_ratio * self.rank.value()
    }

    /// Returns the request value gained per second of slot time.
    ///
    /// Short requests go before long ones of the next more urgent rank: they delay those little, and calls
    /// that other requests wait for are short.
    pub fn urgency(&self, late: bool) -> f64 {
        self.value(late) / self.run().max(MIN_RUN_TIME).as_secs_f64()
    }

    pub fn add_demand(&mut self, now: Instant) {
        let decay_s = DEMAND_DECAY_TIME.as_secs_f64();
        self.demand = self.demand_at(now) + self.run().as_secs_f64() / decay_s;
        self.demand_at = now;
    }

    /// Returns the recent number of requests per second.
    pub fn arrival_rate_at(&self, now: Instant) -> f64 {
        self.demand_at(now) / self.run().max(MIN_RUN_TIME).as_secs_f64()
    }

    pub fn demand_at(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.demand_at).as_secs_f64();
        self.demand * (-age / DEMAND_DECAY_TIME.as_secs_f64()).exp()
    }
}
