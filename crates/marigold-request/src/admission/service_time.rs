//! How long requests hold a slot.

use std::time::Duration;

/// The weight of the newest request, as a part of the whole.
const NEWEST_PART: u32 = 8;

/// A moving average of the time that requests of one class hold a slot.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServiceTime(Option<Duration>);

impl ServiceTime {
    /// Takes in one more request.
    pub fn observe(&mut self, time: Duration) {
        self.0 = Some(match self.0 {
            None => time,
            Some(mean) => (mean * (NEWEST_PART - 1) + time) / NEWEST_PART,
        });
    }

    /// Returns the average, zero before the first request.
    #[must_use]
    pub fn mean(&self) -> Duration {
        self.0.unwrap_or_default()
    }
}
