//! The state of a roll-out.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The state of a roll-out. [`Completed`](Self::Completed) and [`RolledBack`](Self::RolledBack) are final.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutState {
    /// The version gets a small share of the requests, which shows whether it is sound.
    Canary,
    /// The version has been found sound so far and takes over all requests.
    Shifting,
    /// The version has taken over; servers of other versions may stop at any time.
    Completed,
    /// The version has been given up and gets no requests.
    RolledBack,
}

impl RolloutState {
    /// Returns whether no other state can follow.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }
}

impl fmt::Display for RolloutState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Canary => "canary",
            Self::Shifting => "shifting",
            Self::Completed => "completed",
            Self::RolledBack => "rolled_back",
        })
    }
}
