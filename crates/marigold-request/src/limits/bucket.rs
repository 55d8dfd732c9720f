//! A token bucket with an adjustable rate.

use std::time::Duration;

use marigold_types::Interval;
use tokio::time::Instant;

use crate::limits::MilliRate;

/// The tokens that one call takes. A token is a millionth of a call, so that a [`MilliRate`] times
/// milliseconds gives tokens.
const TOKENS_PER_CALL: u64 = 1_000_000;
/// The tokens in a thousandth of a call.
const TOKENS_PER_MILLI_CALL: u64 = 1_000;
/// The time for which unused tokens accumulate, unless a burst is set.
const BURST_WINDOW: Duration = Duration::from_millis(100);

/// Passes calls at a rate that can change at any time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenBucket {
    rate: MilliRate,
    /// The tokens that accumulate at most, if a burst is set.
    burst: Option<u64>,
    tokens: u64,
    /// The time up to which tokens were added, a whole number of milliseconds after creation.
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates a bucket with the tokens for one call.
    #[must_use]
    pub fn new(rate: MilliRate, now: Instant) -> Self {
        Self {
            rate,
            burst: None,
            tokens: TOKENS_PER_CALL,
            refilled_at: now,
        }
    }

    /// Changes the rate from `now` on.
    pub fn set_rate(&mut self, rate: MilliRate, now: Instant) {
        self.refill(now);
        self.rate = rate;
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Changes the rate and the burst, in thousandths of a call, from `now` on.
    pub fn set_limits(&mut self, rate: MilliRate, burst: u64, now: Instant) {
        self.refill(now);
        self.rate = rate;
        self.burst = Some(burst.saturating_mul(TOKENS_PER_MILLI_CALL));
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Adds the tokens of `time`.
    pub fn fill(&mut self, time: Duration) {
        let millis = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        let gain = self.rate.0.saturating_mul(millis);
        self.tokens = self.tokens.saturating_add(gain).min(self.capacity());
    }

    /// Takes the tokens for one call.
    ///
    /// # Errors
    ///
    /// If there are too few tokens: the time until there are enough, or none if the rate is zero.
    pub fn take(&mut self, now: Instant) -> Result<(), Option<Interval>> {
        self.refill(now);
        if let Some(rest) = self.tokens.checked_sub(TOKENS_PER_CALL) {
            self.tokens = rest;
            return Ok(());
        }
        let missing = TOKENS_PER_CALL - self.tokens;
        let wait = (self.rate.0 > 0).then(|| missing.div_ceil(self.rate.0));
        Err(wait.map(Interval::from_millis))
    }

    /// Puts back the tokens of `calls` that were granted and not made.
    pub fn put_back(&mut self, calls: u32, now: Instant) {
        self.refill(now);
        let gain = TOKENS_PER_CALL.saturating_mul(u64::from(calls));
        self.tokens = self.tokens.saturating_add(gain).min(self.capacity());
    }

    fn capacity(&self) -> u64 {
        let window = u64::try_from(BURST_WINDOW.as_millis()).unwrap_or(u64::MAX);
        let default = || self.rate.0.saturating_mul(window);
        self.burst.unwrap_or_else(default).max(TOKENS_PER_CALL)
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        let millis = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        if millis == 0 {
            return;
        }
        // The remaining fraction of a millisecond is counted by the next refill.
        self.refilled_at += Duration::from_millis(millis);
        self.fill(Duration::from_millis(millis));
    }
}
