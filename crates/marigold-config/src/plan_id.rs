//! Identifiers of plans.

use std::fmt;
use std::str::FromStr;

use marigold_types::{Digest, ParseError};
use serde::{Deserialize, Serialize};

/// The digest of a plan's canonical JSON, so that an id refers to one content only.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PlanId(pub Digest);

impl FromStr for PlanId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse()
            .map(Self)
            .map_err(|_| ParseError::new(text, "plan id", "64 hexadecimal digits"))
    }
}

impl fmt::Display for PlanId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
