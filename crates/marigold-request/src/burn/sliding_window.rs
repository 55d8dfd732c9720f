//! Call counts over a sliding window.

use std::time::Duration;

use tokio::time::Instant;

use crate::burn::{Cause, CauseCount, Tally};

/// The number of buckets in a window. The oldest bucket is dropped as a whole.
const BUCKETS: u32 = 60;

/// The calls in one interval of the window.
#[derive(Debug, Clone, Default)]
struct Bucket {
    tally: Tally,
    causes: Vec<CauseCount>,
}

/// Counts calls over a sliding window, in a fixed number of buckets of equal length.
#[derive(Debug, Clone)]
pub struct SlidingWindow {
    bucket_length: Duration,
    origin: Instant,
    /// The number of the newest bucket, counted from the origin.
    newest: u64,
    buckets: Vec<Bucket>,
}

impl SlidingWindow {
    /// Creates an empty window of the given length.
    #[must_use]
    pub fn new(window: Duration, now: Instant) -> Self {
        Self {
            bucket_length: (window / BUCKETS).max(Duration::from_millis(1)),
            origin: now,
            newest: 0,
            buckets: vec![Bucket::default(); BUCKETS as usize],
        }
    }

    /// Counts one call.
    pub fn count(&mut self, is_good: bool, is_fast: bool, cause: Option<Cause>, now: Instant) {
        self.advance(now);
        let index = self.index(self.newest);
        let bucket = &mut self.buckets[index];
        bucket.tally.calls += 1;
        bucket.tally.bad += u64::from(!is_good);
        bucket.tally.slow += u64::from(!is_fast);
        if let Some(cause) = cause {
            CauseCount::add(&mut bucket.causes, cause, 1);
        }
    }

    /// Returns the counts over the most recent `window`, rounded up to whole buckets and limited to
    /// the window's length.
    pub fn tally(&mut self, window: Duration, now: Instant) -> Tally {
        self.advance(now);
        let steps = window.as_nanos().div_ceil(self.bucket_length.as_nanos());
        let steps = u64::try_from(steps)
            .unwrap_or(u64::MAX)
            .min(u64::from(BUCKETS));
        let oldest = (self.newest + 1).saturating_sub(steps);
        let mut sum = Tally::default();
        for number in oldest..=self.newest {
            sum.add(self.buckets[self.index(number)].tally);
        }
        sum
    }

    /// Returns the causes over the full window.
    pub fn causes(&mut self, now: Instant) -> Vec<CauseCount> {
        self.advance(now);
        let mut sum = Vec::new();
        for bucket in &self.buckets {
            CauseCount::add_all(&mut sum, &bucket.causes);
        }
        sum
    }

    /// Advances the window to `now` and clears the buckets that it reuses.
    fn advance(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.origin).as_nanos();
        let number = u64::try_from(passed / self.bucket_length.as_nanos()).unwrap_or(u64::MAX);
        let steps = number.saturating_sub(self.newest).min(u64::from(BUCKETS));
        for step in 0..steps {
            let index = self.index(number - step);
            self.buckets[index] = Bucket::default();
        }
        self.newest = self.newest.max(number);
    }

    fn index(&self, number: u64) -> usize {
        usize::try_from(number % self.buckets.len() as u64).unwrap_or(0)
    }
}
