//! Counts over a window that moves.

use std::time::Duration;

use tokio::time::Instant;

use crate::burn::{Cause, CauseCount, Tally};

/// The buckets of a window; the oldest one leaves whole.
const BUCKETS: u32 = 60;

/// The calls of one part of the window.
#[derive(Debug, Clone, Default)]
struct Bucket {
    tally: Tally,
    causes: Vec<CauseCount>,
}

/// Counts calls over a moving window, in a bounded number of buckets on the runtime's clock.
#[derive(Debug, Clone)]
pub struct SlidingWindow {
    step: Duration,
    origin: Instant,
    /// The number of the newest bucket since the origin.
    newest: u64,
    buckets: Vec<Bucket>,
}

impl SlidingWindow {
    /// Builds an empty window of the given length.
    #[must_use]
    pub fn new(window: Duration, now: Instant) -> Self {
        Self {
            step: (window / BUCKETS).max(Duration::from_millis(1)),
            origin: now,
            newest: 0,
            buckets: vec![Bucket::default(); BUCKETS as usize],
        }
    }

    /// Counts one call.
    pub fn count(&mut self, is_good: bool, is_fast: bool, cause: Option<Cause>, now: Instant) {
        self.turn(now);
        let place = self.place(self.newest);
        let bucket = &mut self.buckets[place];
        bucket.tally.calls += 1;
        bucket.tally.bad += u64::from(!is_good);
        bucket.tally.slow += u64::from(!is_fast);
        if let Some(cause) = cause {
            CauseCount::add(&mut bucket.causes, cause, 1);
        }
    }

    /// Returns the counts over the newest `window`, or over all when that is shorter.
    pub fn tally(&mut self, window: Duration, now: Instant) -> Tally {
        self.turn(now);
        let steps = window.as_nanos().div_ceil(self.step.as_nanos());
        let steps = u64::try_from(steps)
            .unwrap_or(u64::MAX)
            .min(u64::from(BUCKETS));
        let oldest = (self.newest + 1).saturating_sub(steps);
        let mut sum = Tally::default();
        for number in oldest..=self.newest {
            sum.add(self.buckets[self.place(number)].tally);
        }
        sum
    }

    /// Returns the causes over the whole window.
    pub fn causes(&mut self, now: Instant) -> Vec<CauseCount> {
        self.turn(now);
        let mut sum = Vec::new();
        for bucket in &self.buckets {
            CauseCount::add_all(&mut sum, &bucket.causes);
        }
        sum
    }

    /// Clears the buckets that the window has left behind.
    fn turn(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.origin).as_nanos();
        let number = u64::try_from(passed / self.step.as_nanos()).unwrap_or(u64::MAX);
        let steps = number.saturating_sub(self.newest).min(u64::from(BUCKETS));
        for step in 0..steps {
            let place = self.place(number - step);
            self.buckets[place] = Bucket::default();
        }
        self.newest = self.newest.max(number);
    }

    fn place(&self, number: u64) -> usize {
        usize::try_from(number % self.buckets.len() as u64).unwrap_or(0)
    }
}
