//! Detects that nothing is heard from a backend server any more.
//!
//! A process that ends may leave its connections open: its machine lost power, or its network is cut. No exchange
//! breaks then, and the next instance announces itself seconds later.

use std::time::Duration;

use slotmap::{SlotMap, new_key_type};
use tokio::time::Instant;

/// A run is overdue after this many times its expected run time without any response of the backend server.
const OVERDUE_RATIO: u32 = 4;
/// The minimum time without a response after which a run is overdue.
const MIN_OVERDUE_TIME: Duration = Duration::from_millis(250);
/// The number of overdue runs that show silence: single runs may take arbitrarily long.
const OVERDUE_RUNS: usize = 3;
/// The minimum time without a response after which a backend server is no longer certain to be alive.
const MIN_QUIET_TIME: Duration = Duration::from_millis(20);

new_key_type! {
    /// Identifies a run that is watched.
    pub struct WatchedRun;
}

#[derive(Debug, Clone, Copy)]
struct Run {
    started_at: Instant,
    expected: Duration,
}

/// Watches the runs on one backend server for responses.
#[derive(Debug, Default)]
pub struct SilenceDetector {
    runs: SlotMap<WatchedRun, Run>,
    last_heard: Option<Instant>,
    /// The overdue runs that ended without a response since the last one.
    overdue_ended: usize,
    /// Whether a health check went unanswered, and nothing was heard since.
    has_failed_probe: bool,
}

impl SilenceDetector {
    /// Records that a request is sent, and the time that its run is expected to take.
    pub fn start(&mut self, expected: Duration, now: Instant) -> WatchedRun {
        self.runs.insert(Run {
            started_at: now,
            expected,
        })
    }

    /// Records that nobody waits for the response of a run any more.
    pub fn end(&mut self, run: WatchedRun, now: Instant) {
        if let Some(run) = self.runs.remove(run) {
            self.overdue_ended += usize::from(self.is_overdue(run, now));
        }
    }

    /// Records that the backend server has responded to a request, in whatever way.
    pub fn record_sound(&mut self, now: Instant) {
        self.last_heard = Some(now);
        self.overdue_ended = 0;
        self.has_failed_probe = false;
    }

    /// Records that a health check sent at `sent_at` went unanswered.
    pub fn record_failed_probe(&mut self, sent_at: Instant) {
        self.has_failed_probe = self.last_heard.is_none_or(|heard| heard < sent_at);
    }

    /// Returns whether the backend server has responded since `time`.
    #[must_use]
    pub fn heard_since(&self, time: Instant) -> bool {
        self.last_heard.is_some_and(|heard| heard >= time)
    }

    /// Returns whether the backend server, which has `slots`, seems to have ended.
    #[must_use]
    pub fn is_silent(&self, slots: u32, now: Instant) -> bool {
        let is_overdue = |run: &&Run| self.is_overdue(**run, now);
        let overdue = self.runs.values().filter(is_overdue).count() + self.overdue_ended;
        let slots = usize::try_from(slots).unwrap_or(usize::MAX);
        overdue >= OVERDUE_RUNS.min(slots.max(1)) || self.has_failed_probe
    }

    /// Returns whether a health check can tell if the backend server, which has `slots`, has ended: too few runs are
    /// overdue to show it.
    #[must_use]
    pub fn needs_probe(&self, slots: u32, now: Instant) -> bool {
        let is_overdue = self.runs.values().any(|run| self.is_overdue(*run, now));
        is_overdue && !self.is_silent(slots, now)
    }

    /// Returns whether the backend server is idle or has responded so recently that it is alive.
    #[must_use]
    pub fn is_alive(&self, now: Instant) -> bool {
        let is_quiet = |run: &Run| self.quiet_time(*run, now) >= run.expected.max(MIN_QUIET_TIME);
        self.overdue_ended == 0 && !self.runs.values().any(is_quiet)
    }

    fn is_overdue(&self, run: Run, now: Instant) -> bool {
        let limit = (run.expected * OVERDUE_RATIO).max(MIN_OVERDUE_TIME);
        self.quiet_time(run, now) >= limit
    }

    /// Returns for how long the backend server has not responded during a run.
    fn quiet_time(&self, run: Run, now: Instant) -> Duration {
        let since = self
            .last_heard
            .map_or(run.started_at, |heard| heard.max(run.started_at));
        now.saturating_duration_since(since)
    }
}
