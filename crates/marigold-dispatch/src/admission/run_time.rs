//! Average run times.

use std::time::Duration;

/// The divisor of the exponential moving average: a new run has a weight of one in 16 after the first 16.
const SMOOTHING_DIVISOR: u32 = 16;
/// The runs after which the deviation is known well enough to call a run overdue.
const MIN_OVERDUE_COUNT: u32 = 8;
/// A run is overdue after this many mean run times and mean deviations.
const OVERDUE_MEANS: u32 = 2;
const OVERDUE_DEVIATIONS: u32 = 6;
/// The part of the responses that are lost from which a run is overdue after the mean run times alone: by then most
/// runs of that length are lost.
const COMMON_LOSS_RATIO: f64 = 0.2;

/// An exponential moving average of run times that starts as an arithmetic mean.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RunTime {
    mean: Duration,
    /// The moving average of the distance from the mean.
    deviation: Duration,
    count: u32,
}

impl RunTime {
    /// Adds a run time to the average.
    pub fn observe(&mut self, time: Duration) {
        self.count = self.count.saturating_add(1);
        let divisor = self.count.min(SMOOTHING_DIVISOR);
        if self.count > 1 {
            let distance = time.abs_diff(self.mean);
            self.deviation = (self.deviation * (divisor - 1) + distance) / divisor;
        }
        self.mean = (self.mean * (divisor - 1) + time) / divisor;
    }

    /// Returns the average, or `default` before the first run.
    #[must_use]
    pub fn mean_or(&self, default: Duration) -> Duration {
        if self.count == 0 { default } else { self.mean }
    }

    /// Returns the run time that few runs exceed, or `None` before it is known. The greater the part of the responses
    /// that are lost, the shorter it is.
    #[must_use]
    pub fn overdue_after(&self, lost_ratio: f64) -> Option<Duration> {
        let rare = 1.0 - (lost_ratio / COMMON_LOSS_RATIO).min(1.0);
        let limit = self.mean * OVERDUE_MEANS + (self.deviation * OVERDUE_DEVIATIONS).mul_f64(rare);
        (self.count >= MIN_OVERDUE_COUNT).then_some(limit)
    }

    /// Returns the average, or `None` before the first run.
    #[must_use]
    pub fn mean(&self) -> Option<Duration> {
        (self.count > 0).then_some(self.mean)
    }
}
