//! Result of one call as its caller saw it.

use std::sync::Arc;
use std::time::Duration;

use marigold_types::Outcome;

/// The way in which a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// Its own complete answer arrived, with this status of the backend server.
    Answered(u16),
    /// The answer of another call arrived, an incomplete one marked as complete, or one without a valid
    /// outcome.
    Wrong,
    /// The call certainly did not run.
    NotRun,
    /// The mesh reported that the call may have run.
    Unknown,
    /// The daemon could not be connected to, or the connection closed before the call was written. The call
    /// did not run.
    Unreached,
    /// The connection failed before the answer was complete.
    Cut,
    /// The call reached its timeout.
    TimedOut,
}

impl CallEnd {
    /// Returns what the caller can conclude about whether the call ran.
    #[must_use]
    pub fn outcome(self) -> Outcome {
        match self {
            Self::Answered(_) | Self::Wrong => Outcome::Answered,
            Self::NotRun | Self::Unreached => Outcome::NotRun,
            Self::Unknown | Self::Cut | Self::TimedOut => Outcome::Unknown,
        }
    }
}

/// The result of one call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallResult {
    /// The number of the call within the run.
    pub number: u64,
    /// The index of the route in the plan.
    pub route: usize,
    /// How the call ended.
    pub end: CallEnd,
    /// The reason that the mesh gave for not answering; absent if it gave none.
    pub reason: Option<Arc<str>>,
    /// The time from the due time of the call to its end.
    pub latency: Duration,
    /// The time from the due time of the call to its start.
    pub late: Duration,
}
