//! How long work of one kind runs.

use std::time::Duration;

/// The weight of the newest run, as a part of the whole, once enough were seen.
const NEWEST_PART: u32 = 16;

/// A moving average of run times that starts as a plain average.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RunTime {
    mean: Duration,
    seen: u32,
}

impl RunTime {
    /// Takes in one more run.
    pub fn observe(&mut self, time: Duration) {
        self.seen = self.seen.saturating_add(1);
        let part = self.seen.min(NEWEST_PART);
        self.mean = (self.mean * (part - 1) + time) / part;
    }

    /// Returns the average, or `otherwise` before the first run.
    #[must_use]
    pub fn mean_or(&self, otherwise: Duration) -> Duration {
        if self.seen == 0 { otherwise } else { self.mean }
    }

    /// Returns the average, if anything was seen.
    #[must_use]
    pub fn mean(&self) -> Option<Duration> {
        (self.seen > 0).then_some(self.mean)
    }
}
