//! Which work goes first when there is not room for all.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ParseError;

/// The priority of a route's requests, the most urgent first in order.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Checks that services make of one another, which other work waits for.
    Critical,
    /// Work that a caller waits for.
    #[default]
    Interactive,
    /// Work that can wait, such as archive pulls.
    Batch,
}

impl Class {
    /// Every class, the most urgent first.
    pub const ALL: [Self; 3] = [Self::Critical, Self::Interactive, Self::Batch];

    /// Returns the class's position in [`Class::ALL`].
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
