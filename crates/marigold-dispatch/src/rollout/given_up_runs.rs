//! Runs that were given up before their response.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Runs that nobody waited for any more, by how long they had taken.
///
/// A second attempt elsewhere often ends a slow run, so the slower a version is, the fewer of its runs end with a response.
/// How long they had taken by then is a lower bound of their run times. Callers that leave early say nothing; that is for
/// the judge to tell, who knows how long runs take elsewhere.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GivenUpRuns {
    /// The number of runs that had taken less than two to the power of the index in milliseconds, and the sum of their
    /// times. Those of earlier entries do not count.
    buckets: Vec<(u32, Duration)>,
}

impl GivenUpRuns {
    /// Adds a run that had taken `time`.
    pub fn record(&mut self, time: Duration) {
        let index = (u128::BITS - time.as_millis().leading_zeros()) as usize;
        if self.buckets.len() <= index {
            self.buckets.resize(index + 1, (0, Duration::ZERO));
        }
        let (count, total) = &mut self.buckets[index];
        *count = count.saturating_add(1);
        *total += time;
    }

    /// Returns the runs that were added since `earlier`.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        let later = self.buckets.iter().enumerate();
        let between = later.map(|(index, (count, total))| {
            let (known, known_total) = earlier.buckets.get(index).copied().unwrap_or_default();
            (
                count.saturating_sub(known),
                total.saturating_sub(known_total),
            )
        });
        Self {
            buckets: between.collect(),
        }
    }

    /// Returns the number of runs that had taken longer than `limit_s` seconds, and the sum of their times in seconds. Runs
    /// of similar times count together.
    #[must_use]
    pub fn longer_than(&self, limit_s: f64) -> (f64, f64) {
        let buckets = self.buckets.iter();
        let sums = buckets.map(|(count, total)| (f64::from(*count), total.as_secs_f64()));
        sums.filter(|(count, total_s)| *total_s > limit_s * count)
            .fold((0.0, 0.0), |sum, bucket| {
                (sum.0 + bucket.0, sum.1 + bucket.1)
            })
    }
}
