//! The software version of a backend server.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use marigold_types::ParseError;
use serde::{Deserialize, Serialize};

/// Length limit of a version in bytes.
const MAX_VERSION_BYTES: usize = 64;

/// The version of the software that a backend server runs, as it announces it. Versions have no order.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ServerVersion(Arc<str>);

impl ServerVersion {
    /// Returns the version as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for ServerVersion {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_valid = !text.is_empty()
            && text.len() <= MAX_VERSION_BYTES
            && text.bytes().all(|byte| byte.is_ascii_graphic());
        if is_valid {
            Ok(Self(Arc::from(text)))
        } else {
            Err(ParseError::new(
                text,
                "server version",
                "1 to 64 printable ASCII characters without spaces",
            ))
        }
    }
}

impl TryFrom<String> for ServerVersion {
    type Error = ParseError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<ServerVersion> for String {
    fn from(version: ServerVersion) -> Self {
        version.0.as_ref().to_owned()
    }
}

impl fmt::Display for ServerVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}
