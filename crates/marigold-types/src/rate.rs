//! Rates of events.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ParseError;

const ALLOWED: &str = "a whole number with /s, such as 300/s";

/// A number of events per second.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Rate(pub u64);

impl FromStr for Rate {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text
            .strip_suffix("/s")
            .and_then(|number| number.trim().parse().ok());
        number
            .map(Self)
            .ok_or_else(|| ParseError::new(text, "rate", ALLOWED))
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}
