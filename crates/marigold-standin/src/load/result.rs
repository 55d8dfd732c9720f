//! How one call ended, as its caller saw it.

use std::sync::Arc;
use std::time::Duration;

use marigold_types::Outcome;

/// What the caller was told, or found out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// Its own whole answer came, with the backend server's status.
    Answered(u16),
    /// An answer came as whole that is not its own, or not whole.
    Wrong,
    /// It certainly did not run.
    NotRun,
    /// The mesh said that it may have run.
    Unknown,
    /// The daemon could not be connected to, or the connection closed before the call was written to
    /// it, so that it did not run.
    Unreached,
    /// The connection broke before the whole answer was there.
    Cut,
    /// The caller gave it up.
    TimedOut,
}

impl CallEnd {
    /// Returns what the caller may conclude.
    #[must_use]
    pub fn outcome(self) -> Outcome {
        match self {
            Self::Answered(_) | Self::Wrong => Outcome::Answered,
            Self::NotRun | Self::Unreached => Outcome::NotRun,
            Self::Unknown | Self::Cut | Self::TimedOut => Outcome::Unknown,
        }
    }
}

/// One call that has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallResult {
    /// Its number within the run.
    pub number: u64,
    /// Which of the plan's routes it took.
    pub route: usize,
    /// How it ended.
    pub end: CallEnd,
    /// Why it was not answered, where the mesh said so.
    pub reason: Option<Arc<str>>,
    /// The time from when it was due to its end.
    pub latency: Duration,
    /// How much later than due it was sent.
    pub late: Duration,
}
