//! Counts of the runs on a backend server within a window of time.

use std::time::Duration;

use super::{GivenUpRuns, KindCounts};

/// Counts of runs within a window of time.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct WindowCounts {
    /// Runs that have ended.
    pub ended: f64,
    /// Those of them that failed.
    pub failed: f64,
    /// Runs whose time counts.
    pub timed: f64,
    /// The sum of their run times, in seconds.
    pub run_s: f64,
}

impl WindowCounts {
    /// Returns the counts between `earlier`, or the start of the server, and `later`.
    pub fn between(earlier: Option<&KindCounts>, later: &KindCounts) -> Self {
        let (ended, failed, timed, run_time) = earlier.map_or_else(
            || (0, 0, 0, Duration::ZERO),
            |counts| (counts.ended, counts.failed, counts.timed, counts.run_time),
        );
        Self {
            ended: f64::from(later.ended.saturating_sub(ended)),
            failed: f64::from(later.failed.saturating_sub(failed)),
            timed: f64::from(later.timed.saturating_sub(timed)),
            run_s: later.run_time.saturating_sub(run_time).as_secs_f64(),
        }
    }

    /// Adds `other`.
    pub fn add(&mut self, other: &Self) {
        self.ended += other.ended;
        self.failed += other.failed;
        self.timed += other.timed;
        self.run_s += other.run_s;
    }

    /// Adds the current runs that have taken longer than `limit_s` seconds, which will count for at least that.
    pub fn add_overdue(&mut self, open: &[Duration], limit_s: f64) {
        for time in open.iter().map(Duration::as_secs_f64) {
            if time > limit_s {
                self.timed += 1.0;
                self.run_s += time;
            }
        }
    }

    /// Adds the runs that were given up after longer than `limit_s` seconds, which would have taken at least that long.
    pub fn add_given_up(&mut self, runs: &GivenUpRuns, limit_s: f64) {
        let (count, total_s) = runs.longer_than(limit_s);
        self.timed += count;
        self.run_s += total_s;
    }

    /// Returns the average run time in seconds.
    pub fn mean_s(&self) -> f64 {
        self.run_s / self.timed.max(1.0)
    }
}
