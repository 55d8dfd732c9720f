//! One daemon's share of the retry slack, see docs/design/retries.md.
//!
//! Load pattern: daemons are killed in series while backend servers fail. A daemon that has started again has
//! forgotten the retries that its previous run spent, and may know few of the daemons that it shares the slack with.

use std::time::Duration;

use tokio::time::Instant;

/// Divides the slack, which all daemons share, among those that this daemon knows.
#[derive(Debug, Clone, Default)]
pub struct SlackShare {
    daemons: usize,
}

impl SlackShare {
    /// Builds the share of a daemon that knows no others yet. `window` is the one over which retries are counted.
    #[must_use]
    pub fn new(_window: Duration) -> Self {
        Self { daemons: 0 }
    }

    /// Records the number of daemons that are known, including this one.
    pub fn record_daemons(&mut self, count: usize, _now: Instant) {
        self.daemons = count;
    }

    /// Returns the retries that this daemon may spend out of a `slack` that all daemons share.
    #[must_use]
    pub fn of(&self, slack: f64, _now: Instant) -> f64 {
        let count = u32::try_from(self.daemons.max(1)).unwrap_or(u32::MAX);
        slack / f64::from(count)
    }
}
