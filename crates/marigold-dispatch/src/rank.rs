//! The urgency of a route.

use std::fmt;
use std::str::FromStr;

use marigold_types::ParseError;
use serde::{Deserialize, Serialize};

/// How urgent the requests of a route are; the smallest goes first.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Rank(pub u8);

impl Rank {
    /// The rank of calls that other requests wait for while they hold a slot elsewhere.
    pub const CALL: Self = Self(0);
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
