//! How a version came to be held everywhere.

use std::time::Duration;

use marigold_types::Version;

/// The time at which each daemon was first seen to hold a version, from its confirmation on.
#[derive(Debug, Clone)]
pub struct Convergence {
    /// The version.
    pub version: Version,
    /// The daemons' times, the shortest first.
    pub times: Vec<Duration>,
    /// The daemons that did not hold it in time.
    pub missing: usize,
}

impl Convergence {
    /// Returns the time by which `share` of the daemons held it, 1 for all.
    #[must_use]
    pub fn quantile(&self, fraction: f64) -> Duration {
        let Some(last) = self.times.len().checked_sub(1) else {
            return Duration::ZERO;
        };
        #[expect(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a few thousand daemons, and a share of 0 to 1"
        )]
        let rank = (self.times.len() as f64 * fraction.clamp(0.0, 1.0)).ceil() as usize;
        self.times[rank.saturating_sub(1).min(last)]
    }

    /// Returns whether every daemon holds it.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.missing == 0
    }
}
