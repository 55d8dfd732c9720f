//! The time that the platform's log gave a record.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ParseError;

/// Milliseconds since 1970-01-01 UTC by the log's own clock.
///
/// Every reader judges time windows by it, so that all of them fold one log alike.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RecordTime(pub u64);

impl RecordTime {
    /// Returns the time since the epoch.
    #[must_use]
    pub fn since_epoch(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl FromStr for RecordTime {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse()
            .map(Self)
            .map_err(|_| ParseError::new(text, "record time", "milliseconds since 1970 UTC"))
    }
}

impl fmt::Display for RecordTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}
