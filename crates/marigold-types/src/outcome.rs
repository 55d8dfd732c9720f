//! What the mesh knows of a request once it has given its last word.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ParseError;

/// What became of a request, as its caller is told. See docs/design/outcomes.md.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The backend server answered and the whole answer is here.
    Answered,
    /// The request certainly did not run, so it is safe to send again.
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
