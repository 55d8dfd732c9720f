//! What became of the requests of one class.

use std::fmt;

/// Counts of one class.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tally {
    /// Requests that callers had, however often they came.
    pub asked: u32,
    /// Answers in time.
    pub in_time: u32,
    /// Answers too late for full value.
    pub late: u32,
    /// Requests whose last answer was a refusal.
    pub refused: u32,
    /// Requests that failed.
    pub failed: u32,
    /// Requests that came back after a refusal and were refused again.
    pub again: u32,
    /// Attempts that went to another data centre.
    pub crossed: u32,
}

impl Tally {
    /// Returns the share of requests that were answered with success.
    pub fn served(&self) -> f64 {
        f64::from(self.in_time + self.late) / f64::from(self.asked.max(1))
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} asked, {} in time, {} late, {} refused ({} of them twice), {} failed, {} crossed",
            self.asked,
            self.in_time,
            self.late,
            self.refused,
            self.again,
            self.failed,
            self.crossed,
        )
    }
}
