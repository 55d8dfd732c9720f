//! How long requests hold a slot.

use std::time::Duration;

/// The newest sample has a weight of one over this divisor in the moving average.
const SMOOTHING_DIVISOR: u32 = 8;

/// An exponential moving average of the time that requests of one class hold a slot.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServiceTime(Option<Duration>);

impl ServiceTime {
    /// Adds a sample.
    pub fn observe(&mut self, time: Duration) {
        self.0 = Some(match self.0 {
            None => time,
            Some(mean) => (mean * (SMOOTHING_DIVISOR - 1) + time) / SMOOTHING_DIVISOR,
        });
    }

    /// Returns the average, or zero before the first sample.
    #[must_use]
    pub fn mean(&self) -> Duration {
        self.0.unwrap_or_default()
    }
}
