//! What a stopping daemon has to know of a request before it accepts it.

use std::time::Duration;

/// An idempotent request fits into this many of the run times that few exceed: it has a second attempt after one.
const IDEMPOTENT_MARGIN: u32 = 2;
/// A request that may run once has only one attempt, which may be on a backend server that is slower than most.
const ONCE_MARGIN: u32 = 3;

/// The run of a request that has not been accepted yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NewRun {
    /// The mean run time of its kind.
    pub expected: Duration,
    /// The run time that few requests of its kind exceed, or `None` while it is not known.
    pub longest: Option<Duration>,
    /// Whether the request may run more than once.
    pub idempotent: bool,
}

impl NewRun {
    /// Returns whether the run will end within `time_left`.
    #[must_use]
    pub fn fits(self, time_left: Duration) -> bool {
        let margin = if self.idempotent {
            IDEMPOTENT_MARGIN
        } else {
            ONCE_MARGIN
        };
        self.longest
            .is_some_and(|longest| longest * margin <= time_left)
    }
}
