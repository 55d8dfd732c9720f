//! Average run times.

use std::time::Duration;

/// The divisor of the exponential moving average: a new run has a weight of one in 16 after the first 16.
const SMOOTHING_DIVISOR: u32 = 16;

/// An exponential moving average of run times that starts as an arithmetic mean.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RunTime {
    mean: Duration,
    count: u32,
}

impl RunTime {
    /// Adds a run time to the average.
    pub fn observe(&mut self, time: Duration) {
        self.count = self.count.saturating_add(1);
        let divisor = self.count.min(SMOOTHING_DIVISOR);
        self.mean = (self.mean * (divisor - 1) + time) / divisor;
    }

    /// Returns the average, or `default` before the first run.
    #[must_use]
    pub fn mean_or(&self, default: Duration) -> Duration {
        if self.count == 0 { default } else { self.mean }
    }

    /// Returns the average, or `None` before the first run.
    #[must_use]
    pub fn mean(&self) -> Option<Duration> {
        (self.count > 0).then_some(self.mean)
    }
}
