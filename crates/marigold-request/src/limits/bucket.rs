//! A token bucket.

use std::time::Duration;

use marigold_types::Interval;
use tokio::time::Instant;

use crate::limits::MilliRate;

/// The tokens of one call: millionths of a call, that is thousandths of a rate times milliseconds.
const CALL: u64 = 1_000_000;
/// The time over which an unused rate adds up.
const BURST: Duration = Duration::from_millis(100);

/// Passes calls at a rate that can be changed at any time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenBucket {
    rate: MilliRate,
    tokens: u64,
    filled: Instant,
}

impl TokenBucket {
    /// Builds a bucket that holds one call.
    #[must_use]
    pub fn new(rate: MilliRate, now: Instant) -> Self {
        Self {
            rate,
            tokens: CALL,
            filled: now,
        }
    }

    /// Takes another rate from now on.
    pub fn set_rate(&mut self, rate: MilliRate, now: Instant) {
        self.fill(now);
        self.rate = rate;
        self.tokens = self.tokens.min(self.most());
    }

    /// Takes one call.
    ///
    /// # Errors
    ///
    /// When it may not pass yet: the time until one may, or none if that is never at this rate.
    pub fn take(&mut self, now: Instant) -> Result<(), Option<Interval>> {
        self.fill(now);
        if let Some(rest) = self.tokens.checked_sub(CALL) {
            self.tokens = rest;
            return Ok(());
        }
        let missing = CALL - self.tokens;
        let wait = (self.rate.0 > 0).then(|| missing.div_ceil(self.rate.0));
        Err(wait.map(Interval::from_millis))
    }

    fn most(&self) -> u64 {
        let burst = u64::try_from(BURST.as_millis()).unwrap_or(u64::MAX);
        self.rate.0.saturating_mul(burst).max(CALL)
    }

    fn fill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.filled);
        let millis = u64::try_from(passed.as_millis()).unwrap_or(u64::MAX);
        if millis == 0 {
            return;
        }
        // The part of a millisecond that is not counted yet is left for the next time.
        self.filled += Duration::from_millis(millis);
        let gain = self.rate.0.saturating_mul(millis);
        self.tokens = self.tokens.saturating_add(gain).min(self.most());
    }
}
