//! The decisions about a roll-out.

use std::fmt;

use super::RolloutState;

/// The change of a roll-out's state that a judge calls for, and why.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutStep {
    /// The next state.
    pub state: RolloutState,
    /// The reason.
    pub cause: StepCause,
}

/// The reason for a [`RolloutStep`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StepCause {
    /// The order is new.
    Ordered,
    /// Responses of the version fail more often than those of other versions. Contains the evidence.
    Failing(String),
    /// Runs on the version take several times as long as on other versions. Contains the evidence.
    Slow(String),
    /// There were too few responses to trust the version in time.
    TooFewResponses,
    /// The version has been as sound as the others for long enough.
    Sound,
    /// The servers of other versions are idle.
    OthersIdle,
    /// Servers of other versions still run requests, but the deadline is near.
    DeadlineNear,
    /// The deadline passed before a decision.
    DeadlinePassed,
}

impl fmt::Display for StepCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Ordered => f.write_str("ordered"),
            Self::Failing(evidence) => write!(f, "failing: {evidence}"),
            Self::Slow(evidence) => write!(f, "slow: {evidence}"),
            Self::TooFewResponses => f.write_str("too few responses"),
            Self::Sound => f.write_str("sound"),
            Self::OthersIdle => f.write_str("others idle"),
            Self::DeadlineNear => f.write_str("deadline near"),
            Self::DeadlinePassed => f.write_str("deadline passed"),
        }
    }
}
