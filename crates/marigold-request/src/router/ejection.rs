//! Leaves out a backend server whose calls fail, whatever its health endpoint says.

use std::time::Duration;

use tokio::time::Instant;

use crate::router::HealthSignal;

/// Failures in a row after which a backend server is left out.
const MAX_STREAK: u32 = 5;
/// The least calls in a window for its failures to be a rate.
const MIN_CALLS: u32 = 20;
/// The failures in a hundred calls of a window that leave a backend server out.
const MAX_FAILED: u32 = 50;
/// How long failures are counted together.
const WINDOW: Duration = Duration::from_secs(10);
/// How long the first ejection lasts; each further one lasts twice as long.
const FIRST_TERM: Duration = Duration::from_secs(5);
/// The longest ejection.
const MAX_TERM: Duration = Duration::from_secs(80);
/// How long the one trial call of a half-open backend server counts as out.
const TRIAL: Duration = Duration::from_secs(10);

/// Whether calls go to a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// It takes calls.
    Healthy,
    /// It takes none until then.
    Ejected(Instant),
    /// Its ejection is over, and one trial call decides; the time of the last one.
    Trial(Option<Instant>),
}

/// The health of one backend server by its real calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ejection {
    health: Health,
    streak: u32,
    calls: u32,
    failed: u32,
    window: Instant,
    /// Ejections since the last good window.
    terms: u32,
    /// The last good call.
    good: Option<Instant>,
}

impl Ejection {
    /// Builds the state of a backend server that takes calls.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            health: Health::Healthy,
            streak: 0,
            calls: 0,
            failed: 0,
            window: now,
            terms: 0,
            good: None,
        }
    }

    /// Returns the state at `now`.
    #[must_use]
    pub fn health(&self, now: Instant) -> Health {
        match self.health {
            Health::Ejected(until) if until <= now => Health::Trial(None),
            health => health,
        }
    }

    /// Returns whether a call may go to it.
    #[must_use]
    pub fn takes_calls(&self, now: Instant) -> bool {
        match self.health(now) {
            Health::Healthy => true,
            Health::Ejected(_) => false,
            Health::Trial(last) => last.is_none_or(|at| now.saturating_duration_since(at) >= TRIAL),
        }
    }

    /// Returns whether it is left out or on trial.
    #[must_use]
    pub fn is_unhealthy(&self) -> bool {
        self.health != Health::Healthy
    }

    /// Returns when a call last went well.
    #[must_use]
    pub fn last_success(&self) -> Option<Instant> {
        self.good
    }

    /// Counts a call that goes to it.
    pub fn started(&mut self, now: Instant) {
        if let Health::Trial(_) = self.health(now) {
            self.health = Health::Trial(Some(now));
        }
    }

    /// Counts a call's end; `may_eject` says whether enough others are left.
    pub fn finished(&mut self, sign: HealthSignal, may_eject: bool, now: Instant) {
        if now.saturating_duration_since(self.window) >= WINDOW {
            self.next_window(now);
        }
        match sign {
            HealthSignal::Neutral => self.end_trial(now),
            HealthSignal::Success => self.succeed(now),
            HealthSignal::Failure => self.fail(may_eject, now),
        }
    }

    fn next_window(&mut self, now: Instant) {
        if self.calls > 0 && self.failed == 0 {
            self.terms = 0;
        }
        self.window = now;
        self.calls = 0;
        self.failed = 0;
    }

    /// Lets the next trial call go at once after one that showed nothing.
    fn end_trial(&mut self, now: Instant) {
        if let Health::Trial(Some(_)) = self.health(now) {
            self.health = Health::Trial(None);
        }
    }

    fn succeed(&mut self, now: Instant) {
        self.calls += 1;
        self.streak = 0;
        self.good = Some(now);
        if let Health::Trial(_) = self.health(now) {
            self.health = Health::Healthy;
            self.calls = 0;
            self.failed = 0;
        }
    }

    fn fail(&mut self, may_eject: bool, now: Instant) {
        self.calls += 1;
        self.failed += 1;
        self.streak += 1;
        match self.health(now) {
            Health::Trial(_) => self.eject(now),
            Health::Healthy if may_eject && self.is_failing() => self.eject(now),
            Health::Ejected(_) | Health::Healthy => {}
        }
    }

    fn is_failing(&self) -> bool {
        let rate = self.calls >= MIN_CALLS && self.failed * 100 >= self.calls * MAX_FAILED;
        self.streak >= MAX_STREAK || rate
    }

    fn eject(&mut self, now: Instant) {
        let term = FIRST_TERM * 2_u32.pow(self.terms.min(10));
        self.terms += 1;
        self.streak = 0;
        self.health = Health::Ejected(now + term.min(MAX_TERM));
    }
}
