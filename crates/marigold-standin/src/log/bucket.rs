//! How many appends the log takes.

use std::time::Duration;

use marigold_types::Rate;
use tokio::time::Instant;

/// The share of a second's appends that may come at once.
const BURST_SHARE: f64 = 0.1;

/// Holds one token for each append that may be made now; it fills at a fixed rate.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate: Rate,
    tokens: f64,
    filled: Instant,
}

impl TokenBucket {
    /// Starts a full bucket.
    #[must_use]
    pub fn new(rate: Rate, now: Instant) -> Self {
        Self {
            rate,
            tokens: burst(rate),
            filled: now,
        }
    }

    /// Changes the rate from now on.
    pub fn set_rate(&mut self, rate: Rate, now: Instant) {
        self.fill(now);
        self.rate = rate;
        self.tokens = self.tokens.min(burst(rate));
    }

    /// Takes one token, or says how long to wait for the next.
    ///
    /// # Errors
    ///
    /// The time until there is a token; a second when the rate is zero.
    pub fn take(&mut self, now: Instant) -> Result<(), Duration> {
        self.fill(now);
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

    fn fill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.filled).as_secs_f64();
        self.filled = now;
        self.tokens = (self.tokens + passed * per_second(self.rate)).min(burst(self.rate));
    }
}

fn burst(rate: Rate) -> f64 {
    if rate.0 == 0 {
        0.0
    } else {
        (per_second(rate) * BURST_SHARE).max(1.0)
    }
}

/// A rate is far below 2^52, so that the conversion is exact.
#[allow(clippy::cast_precision_loss)]
fn per_second(rate: Rate) -> f64 {
    rate.0 as f64
}
