//! Rates with a resolution of a thousandth of a call per second.

use std::fmt;
use std::str::FromStr;

use marigold_types::{ParseError, Rate};
use serde::{Deserialize, Serialize};

/// One call per second, in the unit of [`MilliRate`].
const MILLIS_PER_CALL: u64 = 1000;

/// A daemon's share of a rate limit, in thousandths of a call per second.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct MilliRate(pub u64);

impl MilliRate {
    /// Returns this rate times `numerator` / `denominator`, rounded down; zero if `denominator` is
    /// zero.
    #[must_use]
    pub fn scaled(self, numerator: u64, denominator: u64) -> Self {
        if denominator == 0 {
            return Self(0);
        }
        let scaled = u128::from(self.0) * u128::from(numerator) / u128::from(denominator);
        Self(u64::try_from(scaled).unwrap_or(u64::MAX))
    }
}

impl From<Rate> for MilliRate {
    fn from(rate: Rate) -> Self {
        Self(rate.0.saturating_mul(MILLIS_PER_CALL))
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
