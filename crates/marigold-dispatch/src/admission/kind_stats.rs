//! Run time and demand statistics of one kind of request.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::admission::demand::Demand;
use crate::routes::rank::LATE_VALUE_RATIO;
use crate::{Precedence, Rank, RunTime};

/// The minimum run time for urgency; shorter runs count as this long.
const MIN_RUN_TIME: Duration = Duration::from_millis(1);

/// The statistics of one kind of request.
#[derive(Debug, Clone)]
pub struct KindStats {
    pub rank: Rank,
    pub run_time: RunTime,
    /// The run time assumed until the first run has ended.
    initial_run: Duration,
    /// The recent demand of requests with each precedence.
    demands: BTreeMap<Precedence, Demand>,
}

impl KindStats {
    pub fn new(rank: Rank, initial_run: Duration) -> Self {
        Self {
            rank,
            run_time: RunTime::default(),
            initial_run,
            demands: BTreeMap::new(),
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

    pub fn add_demand(&mut self, precedence: Precedence, now: Instant) {
        let run = self.run();
        self.demands
            .entry(precedence)
            .or_insert_with(|| Demand::new(now))
            .add(run, now);
    }

    /// Returns the number of requests per second that a demand stands for.
    pub fn arrival_rate(&self, demand: f64) -> f64 {
        demand / self.run().max(MIN_RUN_TIME).as_secs_f64()
    }

    /// Returns the recent demand of each precedence, in seconds of run time per second.
    pub fn demands_at(&self, now: Instant) -> impl Iterator<Item = (Precedence, f64)> {
        self.demands
            .iter()
            .map(move |(precedence, demand)| (*precedence, demand.at(now)))
    }
}
