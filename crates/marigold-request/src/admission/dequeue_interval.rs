//! The rate at which a queue drains.

use std::time::Duration;

use tokio::time::Instant;

use crate::admission::ServiceTime;

/// A moving average of the time between two requests that leave a queue to run.
///
/// The service time of one class does not predict its waiting time while more urgent classes are
/// served first; the recent drain rate of the queue does.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DequeueInterval {
    average: ServiceTime,
    last_dequeue: Option<Instant>,
}

impl DequeueInterval {
    /// Starts the measurement when the first request joins an empty queue.
    pub fn start(&mut self, now: Instant) {
        self.last_dequeue.get_or_insert(now);
    }

    /// Records a request that left the queue to run.
    pub fn record_dequeue(&mut self, now: Instant) {
        if let Some(last) = self.last_dequeue.replace(now) {
            self.average.observe(now.saturating_duration_since(last));
        }
    }

    /// Discards the measurement when the queue is empty.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Estimates how long `count` requests take to leave the queue, given the mean service time of
    /// their class.
    ///
    /// An interval that has already lasted more than twice the expected time is used before it ends.
    pub fn estimate_wait(&self, count: usize, service_time: Duration, now: Instant) -> Duration {
        let elapsed = self
            .last_dequeue
            .map(|last| now.saturating_duration_since(last));
        let mean = self.average.mean();
        let overdue = elapsed.filter(|elapsed| *elapsed > 2 * mean.max(service_time));
        let interval = overdue.unwrap_or(mean);
        interval.saturating_mul(u32::try_from(count).unwrap_or(u32::MAX))
    }
}
