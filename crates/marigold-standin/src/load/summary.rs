//! Summary of a distribution of times.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// The largest time that a histogram can hold; longer ones are recorded as this.
const MAX_MICROS: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Percentiles of recorded times, in microseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The number of recorded times.
    pub count: u64,
    /// The median.
    pub p50_us: u64,
    /// The 99th percentile.
    pub p99_us: u64,
    /// The 99.9th percentile: 999 of 1,000 times are at most this.
    pub p999_us: u64,
    /// The maximum.
    pub max_us: u64,
}

impl Summary {
    /// Returns an empty histogram of microseconds.
    ///
    /// # Panics
    ///
    /// Never, since the bounds are valid.
    #[must_use]
    pub fn histogram() -> Histogram<u64> {
        Histogram::new_with_bounds(1, MAX_MICROS, SIGNIFICANT_DIGITS).expect("valid bounds")
    }

    /// Records `time` in a histogram, as at least one microsecond.
    pub fn record(histogram: &mut Histogram<u64>, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        histogram.saturating_record(micros.max(1));
    }

    /// Returns the summary of a histogram.
    #[must_use]
    pub fn of(histogram: &Histogram<u64>) -> Self {
        Self {
            count: histogram.len(),
            p50_us: histogram.value_at_quantile(0.5),
            p99_us: histogram.value_at_quantile(0.99),
            p999_us: histogram.value_at_quantile(0.999),
            max_us: histogram.max(),
        }
    }
}
