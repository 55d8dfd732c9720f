//! Sizes in bytes.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ParseError;

const ALLOWED: &str = "a whole number with B, KB, MB or GB, such as 64KB";
/// The units and their sizes in bytes, largest first. Each is 1,024 times the next.
const UNITS: [(&str, u64); 4] = [("GB", 1 << 30), ("MB", 1 << 20), ("KB", 1 << 10), ("B", 1)];

/// A size in bytes, written as a whole number with a unit.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ByteSize(pub u64);

impl FromStr for ByteSize {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseError::new(text, "byte size", ALLOWED);
        let (unit, scale) = UNITS
            .into_iter()
            .find(|(unit, _)| text.ends_with(unit))
            .ok_or_else(error)?;
        let number: u64 = text[..text.len() - unit.len()]
            .trim()
            .parse()
            .map_err(|_| error())?;
        number.checked_mul(scale).map(Self).ok_or_else(error)
    }
}

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let fits = |scale: u64| self.0.is_multiple_of(scale) && self.0 >= scale;
        let (unit, scale) = UNITS
            .into_iter()
            .find(|&(_, scale)| fits(scale))
            .unwrap_or(("B", 1));
        write!(f, "{}{unit}", self.0 / scale)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    macro_rules! round_trips {
        ($($name:ident: $text:literal;)*) => {$(
            #[test]
            fn $name() {
                assert_eq!($text.parse::<ByteSize>().unwrap().to_string(), $text);
            }
        )*};
    }

    round_trips! {
        zero: "0B";
        bytes: "17B";
        kilobytes: "64KB";
        megabytes: "3MB";
    }

    #[test]
    fn rejects_overflow() {
        assert!("99999999999999999GB".parse::<ByteSize>().is_err());
    }

    #[test]
    fn rejects_missing_unit() {
        assert!("64".parse::<ByteSize>().is_err());
    }
}
