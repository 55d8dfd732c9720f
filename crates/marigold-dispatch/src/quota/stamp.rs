//! The time by the clock of a home.

use serde::{Deserialize, Serialize};

/// A time by the clock of a home, which it hands out and which votes for it carry back.
///
/// A vote ends by the clock that made the stamp, so no clocks are compared, and a vote that was delayed on its way does not
/// count for longer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomeStamp {
    /// The run of the home's daemon; another run counts no votes with this stamp.
    pub run: u64,
    /// Milliseconds since that run began.
    pub millis: u64,
}
