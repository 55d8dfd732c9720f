//! Request counts of one class.

use std::fmt;

/// The request counts of one class.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClassStats {
    /// Caller requests; retries are not counted again.
    pub requests: u32,
    /// Responses within the objective.
    pub on_time: u32,
    /// Responses after the objective.
    pub late: u32,
    /// Requests whose last response was a refusal.
    pub refused: u32,
    /// Requests that failed.
    pub failed: u32,
    /// Requests that came back after a refusal.
    pub came_back: u32,
    /// Refused requests that had been retried after an earlier refusal.
    pub refused_again: u32,
    /// Attempts sent to another data centre.
    pub cross_data_centre: u32,
}

impl ClassStats {
    /// Returns the fraction of requests with a successful response.
    pub fn served(&self) -> f64 {
        f64::from(self.on_time + self.late) / f64::from(self.requests.max(1))
    }
}

impl fmt::Display for ClassStats {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} requests, {} on time, {} late, {} refused ({} after a retry), {} failed, {} cross-data-centre",
            self.requests,
            self.on_time,
            self.late,
            self.refused,
            self.refused_again,
            self.failed,
            self.cross_data_centre,
        )
    }
}
