//! The precedence of a workspace.

use std::fmt;
use std::str::FromStr;

use marigold_types::ParseError;
use serde::{Deserialize, Serialize};

/// The order in which workspaces are served when there is too little room; the smallest goes first. It goes before
/// the [`Rank`](crate::Rank) of the route.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Precedence(pub u8);

impl FromStr for Precedence {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse()
            .map(Self)
            .map_err(|_| ParseError::new(text, "precedence", "0 to 255"))
    }
}

impl fmt::Display for Precedence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
