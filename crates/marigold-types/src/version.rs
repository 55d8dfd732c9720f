//! Versions of the configuration.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::{LogOffset, ParseError};

/// The version of a configuration, derived from the log offset of the confirmation that created it.
/// A later configuration has a higher version.
///
/// Version 0 is the empty configuration before the first confirmation. See
/// docs/design/configuration.md.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version(pub u64);

impl Version {
    /// Returns the version that a confirmation at `offset` creates.
    #[must_use]
    pub fn at(offset: LogOffset) -> Self {
        Self(offset.0 + 1)
    }
}

impl FromStr for Version {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse()
            .map(Self)
            .map_err(|_| ParseError::new(text, "version", "a whole number"))
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
