//! Final outcomes of requests.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ParseError;

/// The outcome of a request as reported to its caller. See docs/design/outcomes.md.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The backend server responded and the response is complete.
    Answered,
    /// The request did not run, so it is safe to retry.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl FromStr for Outcome {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "answered" => Ok(Self::Answered),
            "not-run" => Ok(Self::NotRun),
            "unknown" => Ok(Self::Unknown),
            _ => Err(ParseError::new(
                text,
                "outcome",
                "answered, not-run or unknown",
            )),
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Answered => "answered",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        })
    }
}
