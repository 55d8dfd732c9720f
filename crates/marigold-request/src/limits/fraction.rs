//! Small parts of a rate.

use std::fmt;
use std::str::FromStr;

use marigold_types::{ParseError, Rate};
use serde::{Deserialize, Serialize};

/// The parts of one call a second.
const PARTS: u64 = 1000;

/// Thousandths of a call a second, for a daemon's share of a limit.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct MilliRate(pub u64);

impl MilliRate {
    /// Returns `part` out of `whole` of this rate, rounded down.
    #[must_use]
    pub fn scaled(self, part: u64, whole: u64) -> Self {
        if whole == 0 {
            return Self(0);
        }
        let share = u128::from(self.0) * u128::from(part) / u128::from(whole);
        Self(u64::try_from(share).unwrap_or(u64::MAX))
    }
}

impl From<Rate> for MilliRate {
    fn from(rate: Rate) -> Self {
        Self(rate.0.saturating_mul(PARTS))
    }
}

impl FromStr for MilliRate {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text.strip_suffix("m/s").and_then(|n| n.parse().ok());
        number.map(Self).ok_or_else(|| {
            ParseError::new(
                text,
                "share of a rate",
                "a whole number with m/s, as 1500m/s",
            )
        })
    }
}

impl fmt::Display for MilliRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}m/s", self.0)
    }
}
