//! A distribution of times in a few numbers.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// The longest time told apart, in microseconds.
const MAX_MICROS: u64 = 600_000_000;
const DIGITS: u8 = 3;

/// Percentiles in microseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// How many times there were.
    pub count: u64,
    /// Half of them were up to this.
    pub p50_us: u64,
    /// 99 of 100 were up to this.
    pub p99_us: u64,
    /// 999 of 1,000 were up to this.
    pub p999_us: u64,
    /// The longest.
    pub max_us: u64,
}

impl Summary {
    /// Returns an empty histogram of microseconds.
    ///
    /// # Panics
    ///
    /// Never: its bounds are valid.
    #[must_use]
    pub fn histogram() -> Histogram<u64> {
        Histogram::new_with_bounds(1, MAX_MICROS, DIGITS).expect("valid bounds")
    }

    /// Adds `time` to a histogram.
    pub fn record(histogram: &mut Histogram<u64>, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        histogram.saturating_record(micros.max(1));
    }

    /// Sums a histogram up.
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
