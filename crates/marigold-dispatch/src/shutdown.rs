//! Graceful shutdown of a daemon.

use std::time::Duration;

use tokio::time::Instant;

/// The fraction of the grace period after which new requests are refused, so that the last accepted ones can
/// still complete.
const REFUSE_AFTER_RATIO: f64 = 0.5;
/// New requests are refused after this time at the latest: callers have switched to other daemons by then, and a
/// request that is accepted later has less time to complete.
const MAX_ACCEPT_TIME: Duration = Duration::from_secs(3);
/// The fraction of the grace period after which requests in flight get the outcome that is known, so that responses
/// which are ready behind them on a connection are still sent.
const CONCLUDE_AFTER_RATIO: f64 = 0.85;
/// The fraction of the grace period after which the daemon stops even with requests in flight.
const STOP_AFTER_RATIO: f64 = 0.95;
/// The time without requests after which a daemon that refuses new ones stops.
const QUIET_PERIOD: Duration = Duration::from_millis(300);

/// The stage of a shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShutdownStage {
    /// Requests are accepted.
    Serving,
    /// Requests are accepted, and every response asks the caller to reconnect elsewhere.
    Draining,
    /// New requests are refused; requests in flight continue.
    Refusing,
    /// Requests in flight end with the outcome that is known.
    Concluding,
    /// The process can exit.
    Ended,
}

/// The shutdown of a daemon, from the signal to its exit within the grace period.
#[derive(Debug, Clone, Copy, Default)]
pub struct Shutdown {
    began_at: Option<Instant>,
}

impl Shutdown {
    /// Begins the shutdown; later calls have no effect.
    pub fn begin(&mut self, now: Instant) {
        self.began_at.get_or_insert(now);
    }

    /// Returns whether the shutdown has begun.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.began_at.is_some()
    }

    /// Returns the stage at `now`, given the number of requests in flight and when the last one was read.
    #[must_use]
    pub fn stage(
        &self,
        grace: Duration,
        in_flight: usize,
        last_request: Instant,
        now: Instant,
    ) -> ShutdownStage {
        let Some(began_at) = self.began_at else {
            return ShutdownStage::Serving;
        };
        let elapsed = now.saturating_duration_since(began_at);
        if elapsed >= grace.mul_f64(STOP_AFTER_RATIO) {
            return ShutdownStage::Ended;
        }
        if elapsed < grace.mul_f64(REFUSE_AFTER_RATIO).min(MAX_ACCEPT_TIME) {
            return ShutdownStage::Draining;
        }
        if in_flight == 0 && now.saturating_duration_since(last_request) >= QUIET_PERIOD {
            return ShutdownStage::Ended;
        }
        if elapsed >= grace.mul_f64(CONCLUDE_AFTER_RATIO) {
            return ShutdownStage::Concluding;
        }
        ShutdownStage::Refusing
    }

    /// Returns when the requests in flight get the outcome that is known, or `None` before the shutdown.
    #[must_use]
    pub fn concludes_at(&self, grace: Duration) -> Option<Instant> {
        Some(self.began_at? + grace.mul_f64(CONCLUDE_AFTER_RATIO))
    }
}
