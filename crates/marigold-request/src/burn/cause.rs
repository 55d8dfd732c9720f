//! The cause of a bad or slow call.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::RefusalReason;

/// Why a call counts against an objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// The mesh refused the call.
    NotRun(RefusalReason),
    /// The outcome of the call is unknown.
    Unknown,
    /// The backend server answered with a server error.
    Failed,
    /// The answer took longer than the latency objective.
    Slow,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotRun(reason) => write!(f, "not-run ({reason})"),
            Self::Unknown => f.write_str("unknown"),
            Self::Failed => f.write_str("failed"),
            Self::Slow => f.write_str("slow"),
        }
    }
}
