//! The deadline of a request. The time left is computed anew for each attempt. See
//! docs/design/retries.md.

use std::time::Duration;

use marigold_types::{Interval, ParseError};
use tokio::time::Instant;

/// The longest time to a deadline that a caller or peer may set.
const MAX_TIME_LEFT: Interval = Interval::from_millis(86_400_000);
/// The part of the parse error that describes accepted values.
const ALLOWED: &str = "a whole number of milliseconds from 1 to 86400000";

/// The instant after which the caller no longer waits for an answer.
///
/// Only the time left is sent over the network, since clocks differ.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Deadline(pub Instant);

impl Deadline {
    /// The header with the time left in milliseconds, both from callers and to backend servers.
    pub const HEADER: &'static str = "marigold-deadline-ms";

    /// Creates the deadline of a request that arrived at `now`, from the shorter of the timeouts of
    /// its route and its caller.
    #[must_use]
    pub fn new(route: Interval, caller: Option<Interval>, now: Instant) -> Self {
        let left = caller.map_or(route, |caller| caller.min(route));
        Self(now + left.duration())
    }

    /// Creates the deadline of a request that arrived from another daemon with `left` as its time
    /// left.
    #[must_use]
    pub fn after(left: Interval, now: Instant) -> Self {
        Self(now + left.min(MAX_TIME_LEFT).duration())
    }

    /// Returns the time left in whole milliseconds.
    #[must_use]
    pub fn left(self, now: Instant) -> Interval {
        let left = self.0.saturating_duration_since(now).as_millis();
        Interval::from_millis(u64::try_from(left).unwrap_or(u64::MAX))
    }

    /// Returns an earlier deadline for a step that must leave time for another step after it.
    ///
    /// The reserve is a quarter of the time left at `now`, and at most `max_reserve`.
    #[must_use]
    pub fn with_reserve(self, max_reserve: Duration, now: Instant) -> Self {
        let left = self.0.saturating_duration_since(now);
        Self(self.0 - max_reserve.min(left / 4))
    }

    /// Returns whether less than a millisecond is left.
    #[must_use]
    pub fn has_passed(self, now: Instant) -> bool {
        self.0.saturating_duration_since(now) < Duration::from_millis(1)
    }

    /// Parses the value of the header.
    ///
    /// # Errors
    ///
    /// If the value is not a whole number of milliseconds within bounds.
    pub fn parse_header(text: &str) -> Result<Interval, ParseError> {
        let left = text.trim().parse().ok().filter(|&millis: &u64| millis > 0);
        left.map(Interval::from_millis)
            .filter(|left| *left <= MAX_TIME_LEFT)
            .ok_or_else(|| ParseError::new(text, "deadline", ALLOWED))
    }

    /// Returns the value of the header for the time left at `now`.
    #[must_use]
    pub fn to_header(self, now: Instant) -> String {
        self.left(now).duration().as_millis().to_string()
    }
}
