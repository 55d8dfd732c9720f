//! Times at the end of a grace period.

use std::time::Duration;

/// A time at the end of the grace period.
#[derive(Debug, Clone, Copy)]
pub struct Margin {
    pub longest: Duration,
    /// The fraction of a short grace period that it takes.
    pub ratio: f64,
}

impl Margin {
    /// Returns the time from the signal to the beginning of the margin.
    pub fn begins_after(self, grace: Duration) -> Duration {
        grace.saturating_sub(grace.mul_f64(self.ratio).min(self.longest))
    }
}
