//! The classification of requests by expected run time.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use marigold_types::ParseError;
use serde::{Deserialize, Serialize};

/// The maximum length of a kind.
const MAX_BYTES: usize = 128;

/// A class of requests with similar run times, identified by the name of the matched route.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallKind(pub Arc<str>);

impl FromStr for CallKind {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.is_empty() || text.len() > MAX_BYTES {
            return Err(ParseError::new(text, "call kind", "1 to 128 bytes"));
        }
        Ok(Self(Arc::from(text)))
    }
}

impl fmt::Display for CallKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}
