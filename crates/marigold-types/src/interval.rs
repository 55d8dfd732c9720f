//! Durations in settings and declarations.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ParseError;

const ALLOWED: &str = "a whole number with ms, s, m, h or d, such as 250ms";
/// The units and their lengths in milliseconds, longest first.
const UNITS: [(&str, u64); 5] = [
    ("d", 86_400_000),
    ("h", 3_600_000),
    ("m", 60_000),
    ("s", 1_000),
    ("ms", 1),
];

/// A duration in whole milliseconds, written as a whole number with a unit.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Interval {
    millis: u64,
}

impl Interval {
    /// Creates an interval of `millis` milliseconds.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self { millis }
    }

    /// Converts the interval to a [`Duration`].
    #[must_use]
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.millis)
    }
}

impl FromStr for Interval {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseError::new(text, "interval", ALLOWED);
        let digits = text.bytes().take_while(u8::is_ascii_digit).count();
        let (number, unit) = text.split_at(digits);
        let (_, scale) = UNITS
            .into_iter()
            .find(|(name, _)| *name == unit.trim())
            .ok_or_else(error)?;
        let number: u64 = number.parse().map_err(|_| error())?;
        number
            .checked_mul(scale)
            .map(Self::from_millis)
            .ok_or_else(error)
    }
}

impl fmt::Display for Interval {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let fits = |scale: u64| self.millis.is_multiple_of(scale) && self.millis >= scale;
        let (unit, scale) = UNITS
            .into_iter()
            .find(|&(_, scale)| fits(scale))
            .unwrap_or(("ms", 1));
        write!(f, "{}{unit}", self.millis / scale)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    macro_rules! round_trips {
        ($($name:ident: $text:literal;)*) => {$(
            #[test]
            fn $name() {
                assert_eq!($text.parse::<Interval>().unwrap().to_string(), $text);
            }
        )*};
    }

    round_trips! {
        zero: "0ms";
        milliseconds: "250ms";
        seconds: "11s";
        minutes: "5m";
        days: "30d";
    }

    #[test]
    fn rejects_missing_unit() {
        assert!("250".parse::<Interval>().is_err());
    }
}
