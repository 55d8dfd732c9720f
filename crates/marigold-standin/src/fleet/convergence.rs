//! Convergence of a mesh to a version.

use std::time::Duration;

use marigold_types::Version;

/// Time from a confirmation until each daemon was first observed to hold its version.
#[derive(Debug, Clone)]
pub struct Convergence {
    /// The version created by the confirmation.
    pub version: Version,
    /// Times of the daemons that hold it, in ascending order.
    pub times: Vec<Duration>,
    /// Number of running daemons that did not hold it before the timeout.
    pub missing: usize,
}

impl Convergence {
    /// Returns the time by which `fraction` (0 to 1) of the converged daemons held the version.
    #[must_use]
    pub fn quantile(&self, fraction: f64) -> Duration {
        let Some(last) = self.times.len().checked_sub(1) else {
            return Duration::ZERO;
        };
        #[expect(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a few thousand daemons, and a fraction of 0 to 1"
        )]
        let rank = (self.times.len() as f64 * fraction.clamp(0.0, 1.0)).ceil() as usize;
        self.times[rank.saturating_sub(1).min(last)]
    }

    /// Returns whether every running daemon holds the version.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.missing == 0
    }
}
