//! The urgency of a route.

use std::fmt;
use std::str::FromStr;

use marigold_types::ParseError;
use serde::{Deserialize, Serialize};

/// The value of a late answer, as a part of one in time; docs/QUESTIONS.md says where it comes from.
pub(crate) const LATE_VALUE: f64 = 0.3;

/// How urgent the requests of a route are; the smallest goes first.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Rank(pub u8);

impl Rank {
    /// The rank of calls that other requests wait for while they hold a slot elsewhere.
    pub const CALL: Self = Self(0);

    /// Returns what an answer in time is worth, as a part of one of the most urgent rank.
    ///
    /// Each rank counts twice the next; the configuration says only which goes first.
    #[must_use]
    pub fn value(self) -> f64 {
        0.5_f64.powi(i32::from(self.0))
    }
}

impl FromStr for Rank {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse()
            .map(Self)
            .map_err(|_| ParseError::new(text, "rank", "0 to 255"))
    }
}

impl fmt::Display for Rank {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
