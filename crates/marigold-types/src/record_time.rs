//! Timestamps of records in the platform's log.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ParseError;

/// Milliseconds since 1970-01-01 UTC by the clock of the platform's log.
///
/// Readers evaluate time windows against it rather than against their own clocks, so that all of
/// them reach the same state from the same log.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RecordTime(pub u64);

impl RecordTime {
    /// Returns the time elapsed since the Unix epoch.
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
