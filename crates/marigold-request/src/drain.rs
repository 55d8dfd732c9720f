//! Graceful shutdown. See docs/design/draining.md.

use std::time::Duration;

use marigold_types::Interval;
use tokio::time::Instant;

/// How long new calls are accepted after the daemon announced that it is draining, until the other
/// daemons have received the announcement.
const ANNOUNCE_TIME: Duration = Duration::from_secs(2);

/// How the process exits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitCode {
    /// All requests in flight have ended.
    Clean,
    /// The drain timeout passed with requests in flight.
    TimedOut,
    /// A second signal forced an immediate exit.
    Forced,
}

impl ExitCode {
    /// Returns the exit code for the operating system.
    #[must_use]
    pub const fn code(self) -> u8 {
        match self {
            Self::Clean => 0,
            Self::TimedOut => 3,
            Self::Forced => 4,
        }
    }
}

/// The phase of a shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The daemon accepts requests; no shutdown was requested.
    Serving,
    /// The daemon announces that it is draining and still accepts requests.
    Draining,
    /// New requests are refused; those in flight continue.
    Refusing,
    /// The process exits.
    Exit(ExitCode),
}

/// The shutdown of a daemon, from its first signal to its exit, in bounded time.
///
/// The timeout is the setting `drain`, counted from the first signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Drain {
    timeout: Duration,
    phase: Phase,
    /// The time of the first signal.
    started_at: Option<Instant>,
    in_flight: usize,
}

impl Drain {
    /// Creates the state of a serving daemon, whose shutdown takes at most `timeout`.
    #[must_use]
    pub fn new(timeout: Interval) -> Self {
        Self {
            timeout: timeout.duration(),
            phase: Phase::Serving,
            started_at: None,
            in_flight: 0,
        }
    }

    /// Returns the phase of the shutdown.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns whether new requests are accepted.
    #[must_use]
    pub fn takes_work(&self) -> bool {
        matches!(self.phase, Phase::Serving | Phase::Draining)
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Handles a termination signal; a second one exits at once.
    pub fn signal(&mut self, now: Instant) -> Phase {
        self.phase = match self.phase {
            Phase::Serving => {
                self.started_at = Some(now);
                Phase::Draining
            }
            Phase::Draining | Phase::Refusing => Phase::Exit(ExitCode::Forced),
            Phase::Exit(code) => Phase::Exit(code),
        };
        self.phase
    }

    /// Counts a request that was accepted, at an ingress or an executor.
    pub fn started(&mut self) {
        self.in_flight += 1;
    }

    /// Counts a request whose answer was sent.
    pub fn finished(&mut self, now: Instant) -> Phase {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.tick(now)
    }

    /// Enters the next phase if it is due.
    pub fn tick(&mut self, now: Instant) -> Phase {
        let Some(started_at) = self.started_at else {
            return self.phase;
        };
        let elapsed = now.saturating_duration_since(started_at);
        let announce_time = ANNOUNCE_TIME.min(self.timeout / 2);
        if self.phase == Phase::Draining && elapsed >= announce_time {
            self.phase = Phase::Refusing;
        }
        if self.phase == Phase::Refusing && self.in_flight == 0 {
            self.phase = Phase::Exit(ExitCode::Clean);
        }
        let is_running = matches!(self.phase, Phase::Draining | Phase::Refusing);
        if is_running && elapsed >= self.timeout {
            self.phase = Phase::Exit(ExitCode::TimedOut);
        }
        self.phase
    }

    /// Returns when to call [`Drain::tick`] next.
    #[must_use]
    pub fn next_tick(&self) -> Option<Instant> {
        let started_at = self.started_at?;
        match self.phase {
            Phase::Draining => Some(started_at + ANNOUNCE_TIME.min(self.timeout / 2)),
            Phase::Refusing => Some(started_at + self.timeout),
            Phase::Serving | Phase::Exit(_) => None,
        }
    }
}
