//! The bandwidth of an instance's network link.

use std::fmt;
use std::str::FromStr;

use marigold_types::ParseError;
use serde::{Deserialize, Serialize};

const ALLOWED: &str = "megabits per second as a non-negative number, such as 5 or 1000.0";

/// The bandwidth of an instance's network link, in whole megabits per second.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LinkRate(pub u32);

impl FromStr for LinkRate {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        // Fractions are dropped: less than a megabit does not affect any decision.
        let whole = text.split_once('.').map_or(text, |(whole, _)| whole);
        whole
            .parse()
            .map(Self)
            .map_err(|_| ParseError::new(text, "link rate", ALLOWED))
    }
}

impl fmt::Display for LinkRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
