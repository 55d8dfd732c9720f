//! Priority classes of requests.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ParseError;

/// The priority of a route's requests under overload, ordered from most to least urgent.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Checks between services that other work depends on.
    Critical,
    /// Requests that a caller is waiting for.
    #[default]
    Interactive,
    /// Requests that can be delayed, such as archive pulls.
    Batch,
}

impl Class {
    /// All classes, from most to least urgent.
    pub const ALL: [Self; 3] = [Self::Critical, Self::Interactive, Self::Batch];

    /// Returns the index of the class in [`Class::ALL`].
    #[must_use]
    pub const fn index(self) -> usize {
        match self {
            Self::Critical => 0,
            Self::Interactive => 1,
            Self::Batch => 2,
        }
    }
}

impl FromStr for Class {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "critical" => Ok(Self::Critical),
            "interactive" => Ok(Self::Interactive),
            "batch" => Ok(Self::Batch),
            _ => Err(ParseError::new(
                text,
                "class",
                "critical, interactive or batch",
            )),
        }
    }
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Critical => "critical",
            Self::Interactive => "interactive",
            Self::Batch => "batch",
        })
    }
}
