//! A graceful shutdown. See docs/design/draining.md.

use std::time::Duration;

use marigold_types::Interval;
use tokio::time::Instant;

/// How long new calls are still taken after the announcement, while it reaches the other daemons.
const LINGER: Duration = Duration::from_secs(2);

/// How the process ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitCode {
    /// Nothing was in flight any more.
    Clean,
    /// The bound passed with requests in flight.
    TimedOut,
    /// A second signal asked to end at once.
    Forced,
}

impl ExitCode {
    /// Returns the code for the operating system.
    #[must_use]
    pub const fn code(self) -> u8 {
        match self {
            Self::Clean => 0,
            Self::TimedOut => 3,
            Self::Forced => 4,
        }
    }
}

/// Where a shutdown stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Work is taken.
    Serving,
    /// The daemon says that it is leaving, and still takes what others send meanwhile.
    Leaving,
    /// New work is refused, and what is in flight goes on.
    Finishing,
    /// The process ends.
    Exit(ExitCode),
}

/// Leads a daemon from its first signal to its end, in a bounded time.
///
/// The upper bound is the setting `drain`, counted from the first signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Drain {
    bound: Duration,
    phase: Phase,
    since: Option<Instant>,
    in_flight: usize,
}

impl Drain {
    /// Builds the state of a daemon that serves; a shutdown takes at most `bound`.
    #[must_use]
    pub fn new(bound: Interval) -> Self {
        Self {
            bound: bound.duration(),
            phase: Phase::Serving,
            since: None,
            in_flight: 0,
        }
    }

    /// Returns where the shutdown stands.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns whether new work is taken.
    #[must_use]
    pub fn takes_work(&self) -> bool {
        matches!(self.phase, Phase::Serving | Phase::Leaving)
    }

    /// Returns the requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Takes a signal to end; the second one ends at once.
    pub fn signal(&mut self, now: Instant) -> Phase {
        self.phase = match self.phase {
            Phase::Serving => {
                self.since = Some(now);
                Phase::Leaving
            }
            Phase::Leaving | Phase::Finishing => Phase::Exit(ExitCode::Forced),
            Phase::Exit(code) => Phase::Exit(code),
        };
        self.phase
    }

    /// Counts a request that is taken, at an ingress or an executor.
    pub fn started(&mut self) {
        self.in_flight += 1;
    }

    /// Counts a request whose answer is out.
    pub fn finished(&mut self, now: Instant) -> Phase {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.tick(now)
    }

    /// Moves on when it is time.
    pub fn tick(&mut self, now: Instant) -> Phase {
        let Some(since) = self.since else {
            return self.phase;
        };
        let passed = now.saturating_duration_since(since);
        let linger = LINGER.min(self.bound / 2);
        if self.phase == Phase::Leaving && passed >= linger {
            self.phase = Phase::Finishing;
        }
        if self.phase == Phase::Finishing && self.in_flight == 0 {
            self.phase = Phase::Exit(ExitCode::Clean);
        }
        let open = matches!(self.phase, Phase::Leaving | Phase::Finishing);
        if open && passed >= self.bound {
            self.phase = Phase::Exit(ExitCode::TimedOut);
        }
        self.phase
    }

    /// Returns when to call [`Drain::tick`] next.
    #[must_use]
    pub fn next_tick(&self) -> Option<Instant> {
        let since = self.since?;
        match self.phase {
            Phase::Leaving => Some(since + LINGER.min(self.bound / 2)),
            Phase::Finishing => Some(since + self.bound),
            Phase::Serving | Phase::Exit(_) => None,
        }
    }
}
