//! Graceful shutdown of a daemon: which requests are still accepted, when those in flight end with the outcome that is
//! known, and when the process can exit. Decided from the grace period, the run times of a kind and what is in flight.
//!
//! Load pattern: daemons are restarted in turn, faster than callers find another way in. Callers go on sending to daemons
//! that stop, and the slots beside these are missed everywhere. See docs/design/restarts.md.

mod margin;
mod new_run;
mod open_work;
mod stage;

use std::time::Duration;

use tokio::time::Instant;

use self::margin::Margin;
pub use new_run::NewRun;
pub use open_work::OpenWork;
pub use stage::ShutdownStage;

/// The fraction of the grace period for which all requests are accepted.
const ACCEPT_RATIO: f64 = 0.5;
/// All requests are accepted for this time at most: callers have switched to other daemons by then, and a request that is
/// accepted later has less time to complete.
const MAX_ACCEPT_TIME: Duration = Duration::from_secs(3);
/// The time before the end of the grace period at which requests in flight get the outcome that is known, so that responses
/// which are ready behind them on a connection are still sent. How long that takes doesn't depend on the grace period.
const CONCLUDE_MARGIN: Margin = Margin {
    longest: Duration::from_millis(900),
    ratio: 0.15,
};
/// The time before the end of the grace period at which the daemon stops even with requests in flight.
const STOP_MARGIN: Margin = Margin {
    longest: Duration::from_millis(300),
    ratio: 0.05,
};
/// The expected run times before requests in flight are concluded at which an idempotent one has its second attempt: one
/// for its run, one for its wait.
const SECOND_ATTEMPT_RUNS: u32 = 2;
/// The time from the exit of a daemon until the next one has started, with a margin: a caller that returns a moment too early
/// finds nobody there.
const RESTART_TIME: Duration = Duration::from_millis(1_200);
/// The last of several runs ends later than a mean run.
const LAST_RUN_FACTOR: f64 = 1.5;
/// The time without accepted requests, and since calls are refused, after which a daemon that has nothing in flight stops.
/// Refused requests don't count: they would keep a daemon for as long as callers have no other way in.
const QUIET_PERIOD: Duration = Duration::from_millis(300);

/// The shutdown of a daemon, from the signal to its exit within the grace period.
#[derive(Debug, Clone, Copy, Default)]
pub struct Shutdown {
    began_at: Option<Instant>,
    /// When the executor began to refuse calls.
    closed_at: Option<Instant>,
}

impl Shutdown {
    /// Begins the shutdown; later calls have no effect.
    pub fn begin(&mut self, now: Instant) {
        self.began_at.get_or_insert(now);
    }

    /// Records that the executor refuses calls, which other daemons have to hear of before the process exits; later calls
    /// have no effect.
    pub fn close(&mut self, now: Instant) {
        self.closed_at.get_or_insert(now);
    }

    /// Returns the stage at `now`, given the work that has not ended.
    #[must_use]
    pub fn stage(&self, grace: Duration, work: OpenWork, now: Instant) -> ShutdownStage {
        let Some(began_at) = self.began_at else {
            return ShutdownStage::Serving;
        };
        let elapsed = now.saturating_duration_since(began_at);
        if elapsed >= STOP_MARGIN.begins_after(grace) {
            return ShutdownStage::Ended;
        }
        if elapsed < grace.mul_f64(ACCEPT_RATIO).min(MAX_ACCEPT_TIME) {
            return ShutdownStage::Draining;
        }
        let is_quiet = |since: Instant| now.saturating_duration_since(since) >= QUIET_PERIOD;
        let is_idle = work.open() == 0 && work.changed_at().is_none_or(is_quiet);
        if is_idle && self.closed_at.is_some_and(is_quiet) {
            return ShutdownStage::Ended;
        }
        if elapsed >= CONCLUDE_MARGIN.begins_after(grace) {
            return ShutdownStage::Concluding;
        }
        if work.early() > 0 {
            return ShutdownStage::Finishing;
        }
        ShutdownStage::Refusing
    }

    /// Returns whether a request is accepted: in [`ShutdownStage::Finishing`], if its run is expected to end before the
    /// requests that the daemon stays for, and most certainly ends before requests in flight are concluded.
    #[must_use]
    pub fn admits(&self, grace: Duration, work: OpenWork, run: NewRun, now: Instant) -> bool {
        match self.stage(grace, work, now) {
            ShutdownStage::Serving | ShutdownStage::Draining => true,
            ShutdownStage::Finishing => {
                let concludes_at = self.concludes_at(grace).unwrap_or(now);
                run.expected <= work.early_time_left(now)
                    && run.fits(concludes_at.saturating_duration_since(now))
            }
            ShutdownStage::Refusing | ShutdownStage::Concluding | ShutdownStage::Ended => false,
        }
    }

    /// Returns when the requests in flight get the outcome that is known, or `None` before the shutdown.
    #[must_use]
    pub fn concludes_at(&self, grace: Duration) -> Option<Instant> {
        Some(self.began_at? + CONCLUDE_MARGIN.begins_after(grace))
    }

    /// Returns when an idempotent request that is still in flight has its second attempt, since a later one would not
    /// end before requests are concluded, or `None` before the shutdown. `expected_run` is that of its kind.
    #[must_use]
    pub fn second_attempt_at(&self, grace: Duration, expected_run: Duration) -> Option<Instant> {
        let began_at = self.began_at?;
        let latest = self.concludes_at(grace)?;
        let at = latest.checked_sub(expected_run * SECOND_ATTEMPT_RUNS);
        Some(at.map_or(began_at, |at| at.max(began_at)))
    }

    /// Returns the time until a daemon that starts after this one is expected to serve.
    #[must_use]
    pub fn back_after(&self, grace: Duration, work: OpenWork, now: Instant) -> Duration {
        let ends_at = self.began_at.unwrap_or(now) + grace;
        let longest = ends_at.saturating_duration_since(now);
        let rest = work.time_left(now).mul_f64(LAST_RUN_FACTOR) + QUIET_PERIOD;
        rest.min(longest) + RESTART_TIME
    }
}
