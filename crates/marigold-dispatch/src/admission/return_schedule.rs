//! When refused callers are told to come back.
//!
//! Load pattern: many callers are refused within moments and come back at the same time, when there is room for a few.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::Precedence;

/// A refused request is tried at about this number of executors, of which the caller follows one.
const EXECUTORS_PER_REFUSAL: u32 = 4;

/// Spreads the returns of refused callers over the time in which slots are expected to become free.
#[derive(Debug, Default)]
pub struct ReturnSchedule {
    /// The time after the last return, by precedence and by whether the workspace is beyond its part.
    next: BTreeMap<(Precedence, bool), Instant>,
}

impl ReturnSchedule {
    /// Returns the delay for a caller that may return after `min` at the earliest and at `max` at the latest, and whose
    /// request takes the slots for `taken`.
    pub fn add(
        &mut self,
        place: (Precedence, bool),
        min: Duration,
        max: Duration,
        taken: Duration,
        now: Instant,
    ) -> Duration {
        let next = self.next.entry(place).or_insert(now);
        let at = (*next).clamp(now + min, now + max.max(min));
        *next = at + taken / EXECUTORS_PER_REFUSAL;
        at - now
    }
}
