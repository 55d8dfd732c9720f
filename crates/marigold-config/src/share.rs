//! Proportions of calls.

use std::fmt;
use std::str::FromStr;

use marigold_types::ParseError;

const ALLOWED: &str = "a percentage with at most 4 decimals, as 99.9%";
const MAX_DECIMALS: usize = 4;

/// A proportion of calls in millionths, written as a percentage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Share(pub u32);

impl Share {
    /// All calls, 100%.
    pub const ALL: Self = Self(1_000_000);
}

impl FromStr for Share {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseError::new(text, "share", ALLOWED);
        let number = text.strip_suffix('%').ok_or_else(error)?.trim();
        let (whole, decimals) = number.split_once('.').unwrap_or((number, "0"));
        let digits = |part: &str| !part.is_empty() && part.bytes().all(|b| b.is_ascii_digit());
        if !digits(whole) || !digits(decimals) || decimals.len() > MAX_DECIMALS {
            return Err(error());
        }
        let whole: u32 = whole.parse().map_err(|_| error())?;
        let decimals: u32 = format!("{decimals:0<MAX_DECIMALS$}")
            .parse()
            .map_err(|_| error())?;
        let share = whole
            .checked_mul(10_000)
            .and_then(|millionths| millionths.checked_add(decimals));
        share
            .map(Self)
            .filter(|share| *share <= Self::ALL)
            .ok_or_else(error)
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = format!("{}.{:04}", self.0 / 10_000, self.0 % 10_000);
        let text = text.trim_end_matches('0').trim_end_matches('.');
        write!(f, "{text}%")
    }
}
