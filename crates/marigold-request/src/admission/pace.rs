//! How fast a line moves.

use std::time::Duration;

use tokio::time::Instant;

use crate::admission::ServiceTime;

/// A moving average of the time between two requests that leave a line to run.
///
/// The time that requests of one class hold a slot does not tell how long a line takes when a more
/// urgent one goes first; how fast it moved of late does.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Pace {
    step: ServiceTime,
    last: Option<Instant>,
}

impl Pace {
    /// Counts that a line has begun to form.
    pub fn begin(&mut self, now: Instant) {
        self.last.get_or_insert(now);
    }

    /// Counts a request that left the line to run.
    pub fn moved(&mut self, now: Instant) {
        if let Some(last) = self.last.replace(now) {
            self.step.observe(now.saturating_duration_since(last));
        }
    }

    /// Forgets everything, since the line is empty.
    pub fn end(&mut self) {
        *self = Self::default();
    }

    /// Estimates how long `ahead` requests take to leave the line, where one holds a slot for
    /// `usual`.
    ///
    /// A step that takes more than twice as long as it should counts before it has ended.
    pub fn wait(&self, ahead: usize, usual: Duration, now: Instant) -> Duration {
        let since = self.last.map(|last| now.saturating_duration_since(last));
        let mean = self.step.mean();
        let late = since.filter(|since| *since > 2 * mean.max(usual));
        let step = late.unwrap_or(mean);
        step.saturating_mul(u32::try_from(ahead).unwrap_or(u32::MAX))
    }
}
