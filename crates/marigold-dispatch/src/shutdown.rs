//! How a daemon ends after it was asked to.

use std::time::Duration;

use tokio::time::Instant;

/// New requests are refused from this part of the grace period on, so that what was taken just before
/// can still end.
const REFUSE_PART: f64 = 0.5;
/// The daemon ends at this part of the grace period at the latest.
const END_PART: f64 = 0.95;
/// The daemon ends this long after its last request, once it refuses new ones.
const QUIET: Duration = Duration::from_millis(300);

/// Where a shutdown stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShutdownStage {
    /// Work is taken.
    Serving,
    /// Work is taken, and every answer asks its caller to connect elsewhere.
    Draining,
    /// New work is refused; what is in flight goes on.
    Refusing,
    /// The process ends.
    Ended,
}

/// Leads a daemon from the signal to its end within the grace period.
#[derive(Debug, Clone, Copy, Default)]
pub struct Shutdown {
    since: Option<Instant>,
}

impl Shutdown {
    /// Takes the signal to end.
    pub fn begin(&mut self, now: Instant) {
        self.since.get_or_insert(now);
    }

    /// Returns whether the signal has come.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.since.is_some()
    }

    /// Returns the stage, where `in_flight` requests are open and the last one was read at `last`.
    #[must_use]
    pub fn stage(
        &self,
        grace: Duration,
        in_flight: usize,
        last: Instant,
        now: Instant,
    ) -> ShutdownStage {
        let Some(since) = self.since else {
            return ShutdownStage::Serving;
        };
        let passed = now.saturating_duration_since(since);
        if passed >= grace.mul_f64(END_PART) {
            return ShutdownStage::Ended;
        }
        if passed < grace.mul_f64(REFUSE_PART) {
            return ShutdownStage::Draining;
        }
        if in_flight == 0 && now.saturating_duration_since(last) >= QUIET {
            return ShutdownStage::Ended;
        }
        ShutdownStage::Refusing
    }
}
