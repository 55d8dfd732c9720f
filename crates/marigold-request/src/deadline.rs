//! The time left to a request, read afresh before each attempt. See docs/design/retries.md.

use std::time::Duration;

use marigold_types::{Interval, ParseError};
use tokio::time::Instant;

/// The longest time that a caller can ask for.
const MAX_LEFT: Interval = Interval::from_millis(86_400_000);
const ALLOWED: &str = "a whole number of milliseconds from 1 to 86400000";

/// The instant after which nobody waits for a request any more.
///
/// Between daemons and callers only the time left travels, since clocks differ.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Deadline(pub Instant);

impl Deadline {
    /// The header that carries the time left in milliseconds, from callers and to backend servers.
    pub const HEADER: &'static str = "marigold-deadline-ms";

    /// Builds the deadline of a request that came at `now`: the route's time, or less when the
    /// caller allows less.
    #[must_use]
    pub fn new(route: Interval, caller: Option<Interval>, now: Instant) -> Self {
        let left = caller.map_or(route, |caller| caller.min(route));
        Self(now + left.duration())
    }

    /// Builds the deadline of a request that came with `left` from another daemon.
    #[must_use]
    pub fn after(left: Interval, now: Instant) -> Self {
        Self(now + left.min(MAX_LEFT).duration())
    }

    /// Returns the time left, in whole milliseconds, for the next attempt.
    #[must_use]
    pub fn left(self, now: Instant) -> Interval {
        let left = self.0.saturating_duration_since(now).as_millis();
        Interval::from_millis(u64::try_from(left).unwrap_or(u64::MAX))
    }

    /// Returns the deadline of a step that must leave time for one more after it: a quarter of what
    /// is left at `now`, and never more than `most`.
    #[must_use]
    pub fn with_reserve(self, most: Duration, now: Instant) -> Self {
        let left = self.0.saturating_duration_since(now);
        Self(self.0 - most.min(left / 4))
    }

    /// Returns whether less than a millisecond is left.
    #[must_use]
    pub fn has_passed(self, now: Instant) -> bool {
        self.0.saturating_duration_since(now) < Duration::from_millis(1)
    }

    /// Reads the header's text.
    ///
    /// # Errors
    ///
    /// When it is not a whole number of milliseconds in bounds.
    pub fn parse_header(text: &str) -> Result<Interval, ParseError> {
        let left = text.trim().parse().ok().filter(|&millis: &u64| millis > 0);
        left.map(Interval::from_millis)
            .filter(|left| *left <= MAX_LEFT)
            .ok_or_else(|| ParseError::new(text, "deadline", ALLOWED))
    }

    /// Returns the header's text for the time left at `now`.
    #[must_use]
    pub fn to_header(self, now: Instant) -> String {
        self.left(now).duration().as_millis().to_string()
    }
}
