//! Rate limit for appends.

use std::time::Duration;

use marigold_types::Rate;
use tokio::time::Instant;

/// The burst size, in seconds of appends at the full rate.
const BURST_SECONDS: f64 = 0.1;

/// A token bucket: each append takes one token, and tokens are added at a fixed rate.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate: Rate,
    tokens: f64,
    last_refill: Instant,
}

impl TokenBucket {
    /// Creates a full bucket.
    #[must_use]
    pub fn new(rate: Rate, now: Instant) -> Self {
        Self {
            rate,
            tokens: burst_size(rate),
            last_refill: now,
        }
    }

    /// Changes the rate from `now` on. Tokens beyond the new burst size are dropped.
    pub fn set_rate(&mut self, rate: Rate, now: Instant) {
        self.refill(now);
        self.rate = rate;
        self.tokens = self.tokens.min(burst_size(rate));
    }

    /// Takes one token.
    ///
    /// # Errors
    ///
    /// If the bucket is empty. The error is the time until the next token, or one second if the rate is
    /// zero.
    pub fn take(&mut self, now: Instant) -> Result<(), Duration> {
        self.refill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        if self.rate.0 == 0 {
            return Err(Duration::from_secs(1));
        }
        Err(Duration::from_secs_f64(
            (1.0 - self.tokens) / per_second(self.rate),
        ))
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now
            .saturating_duration_since(self.last_refill)
            .as_secs_f64();
        self.last_refill = now;
        self.tokens = (self.tokens + elapsed * per_second(self.rate)).min(burst_size(self.rate));
    }
}

fn burst_size(rate: Rate) -> f64 {
    if rate.0 == 0 {
        0.0
    } else {
        (per_second(rate) * BURST_SECONDS).max(1.0)
    }
}

/// The conversion is exact, since rates are far below 2^52.
#[allow(clippy::cast_precision_loss)]
fn per_second(rate: Rate) -> f64 {
    rate.0 as f64
}
