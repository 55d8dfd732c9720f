//! Passive health checking: ejects a backend server whose calls fail, whatever its health endpoint
//! reports.

use std::time::Duration;

use tokio::time::Instant;

use crate::router::HealthSignal;

/// The number of consecutive failures after which a backend server is ejected.
const MAX_CONSECUTIVE_FAILURES: u32 = 5;
/// The minimum number of calls in a window for its failure rate to be evaluated.
const MIN_CALLS_FOR_RATE: u32 = 20;
/// The percentage of failed calls in a window at which a backend server is ejected.
const MAX_FAILURE_PERCENT: u32 = 50;
/// The length of the window in which the failure rate is measured.
const RATE_WINDOW: Duration = Duration::from_secs(10);
/// How long the first ejection lasts; each further one lasts twice as long.
const FIRST_EJECTION_TIME: Duration = Duration::from_secs(5);
/// The maximum length of an ejection.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(80);
/// How long a trial call in the half-open state blocks another one if its end is not reported.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(10);

/// Whether a backend server receives calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// It receives calls.
    Healthy,
    /// It receives no calls until the given instant.
    Ejected(Instant),
    /// Its ejection has ended, and the result of one trial call decides. Holds the start of that call.
    Trial(Option<Instant>),
}

/// The health of one backend server, judged by the results of its calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ejection {
    health: Health,
    consecutive_failures: u32,
    /// Calls in the current window.
    calls: u32,
    /// Failed calls in the current window.
    failed: u32,
    window_start: Instant,
    /// Ejections since the last window without failures.
    ejections: u32,
    last_success: Option<Instant>,
}

impl Ejection {
    /// Creates the state of a healthy backend server.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            health: Health::Healthy,
            consecutive_failures: 0,
            calls: 0,
            failed: 0,
            window_start: now,
            ejections: 0,
            last_success: None,
        }
    }

    /// Returns the health at `now`.
    #[must_use]
    pub fn health(&self, now: Instant) -> Health {
        match self.health {
            Health::Ejected(until) if until <= now => Health::Trial(None),
            health => health,
        }
    }

    /// Returns whether a call may be sent to the backend server.
    #[must_use]
    pub fn takes_calls(&self, now: Instant) -> bool {
        match self.health(now) {
            Health::Healthy => true,
            Health::Ejected(_) => false,
            Health::Trial(last) => {
                last.is_none_or(|at| now.saturating_duration_since(at) >= TRIAL_TIMEOUT)
            }
        }
    }

    /// Returns whether the backend server is ejected or on trial.
    #[must_use]
    pub fn is_unhealthy(&self) -> bool {
        self.health != Health::Healthy
    }

    /// Returns when a call last succeeded.
    #[must_use]
    pub fn last_success(&self) -> Option<Instant> {
        self.last_success
    }

    /// Records the start of a call.
    pub fn started(&mut self, now: Instant) {
        if let Health::Trial(_) = self.health(now) {
            self.health = Health::Trial(Some(now));
        }
    }

    /// Records the end of a call; `may_eject` tells whether enough other backend servers are left.
    pub fn finished(&mut self, signal: HealthSignal, may_eject: bool, now: Instant) {
        if now.saturating_duration_since(self.window_start) >= RATE_WINDOW {
            self.next_window(now);
        }
        match signal {
            HealthSignal::Neutral => self.end_trial(now),
            HealthSignal::Success => self.succeed(now),
            HealthSignal::Failure => self.fail(may_eject, now),
        }
    }

    fn next_window(&mut self, now: Instant) {
        if self.calls > 0 && self.failed == 0 {
            self.ejections = 0;
        }
        self.window_start = now;
        self.calls = 0;
        self.failed = 0;
    }

    /// Allows the next trial call at once after one with a neutral result.
    fn end_trial(&mut self, now: Instant) {
        if let Health::Trial(Some(_)) = self.health(now) {
            self.health = Health::Trial(None);
        }
    }

    fn succeed(&mut self, now: Instant) {
        self.calls += 1;
        self.consecutive_failures = 0;
        self.last_success = Some(now);
        if let Health::Trial(_) = self.health(now) {
            self.health = Health::Healthy;
            self.calls = 0;
            self.failed = 0;
        }
    }

    fn fail(&mut self, may_eject: bool, now: Instant) {
        self.calls += 1;
        self.failed += 1;
        self.consecutive_failures += 1;
        match self.health(now) {
            Health::Trial(_) => self.eject(now),
            Health::Healthy if may_eject && self.is_failing() => self.eject(now),
            Health::Ejected(_) | Health::Healthy => {}
        }
    }

    fn is_failing(&self) -> bool {
        let exceeds_rate = self.calls >= MIN_CALLS_FOR_RATE
            && self.failed * 100 >= self.calls * MAX_FAILURE_PERCENT;
        self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES || exceeds_rate
    }

    fn eject(&mut self, now: Instant) {
        let length = FIRST_EJECTION_TIME * 2_u32.pow(self.ejections.min(10));
        self.ejections += 1;
        self.consecutive_failures = 0;
        self.health = Health::Ejected(now + length.min(MAX_EJECTION_TIME));
    }
}
