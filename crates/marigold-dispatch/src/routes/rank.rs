//! The priority of a route.

use std::fmt;
use std::str::FromStr;

use marigold_types::ParseError;
use serde::{Deserialize, Serialize};

/// The value of a response after its objective, as a fraction of its full value; see docs/QUESTIONS.md for
/// the source.
pub(crate) const LATE_VALUE_RATIO: f64 = 0.3;

/// The priority of a route's requests; the smallest rank goes first.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Rank(pub u8);

impl Rank {
    /// The rank of calls made by requests that hold a slot on another backend server while they wait.
    pub const CALL: Self = Self(0);

    /// Returns the value of a response within its objective, relative to the most urgent rank.
    ///
    /// Each rank has twice the value of the next; the configuration only defines their order.
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
