//! Why a call was bad.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::RefusalReason;

/// What made a call count against its objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// The mesh refused it for this reason.
    NotRun(RefusalReason),
    /// The mesh does not know what became of it.
    Unknown,
    /// The backend server answered that it failed.
    Failed,
    /// It was answered too late.
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
