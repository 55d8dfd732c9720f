//! Paces the requests to a backend server that has named a limit.
//!
//! All requests to a backend server pass through the executor beside it, so its pacer bounds the requests of all
//! daemons together.

use std::time::Duration;

use tokio::time::Instant;

use crate::RequestLimit;

/// The time in which unused requests accumulate, so that uneven arrivals do not lose them.
const BURST_TIME: Duration = Duration::from_millis(500);
/// The maximum wait that is calculated with.
const MAX_WAIT: Duration = Duration::from_hours(1);

/// A token bucket whose rate is the limit that the backend server has named last.
#[derive(Debug, Clone)]
pub struct RequestPacer {
    limit: Option<RequestLimit>,
    /// The requests that may be sent at once; negative if too many were sent before the limit was known.
    tokens: f64,
    updated_at: Option<Instant>,
    /// The number of requests sent so far.
    sent: u64,
}

impl RequestPacer {
    /// Builds a pacer without a limit.
    #[must_use]
    pub fn new() -> Self {
        Self {
            limit: None,
            tokens: 0.0,
            updated_at: None,
            sent: 0,
        }
    }

    /// Returns the limit, if there is one.
    #[must_use]
    pub fn limit(&self) -> Option<RequestLimit> {
        self.limit
    }

    /// Changes the limit. `running` is the number of requests that the backend server has now; those that were sent
    /// without a limit count towards a new one.
    pub fn set_limit(&mut self, limit: Option<RequestLimit>, running: usize, now: Instant) {
        self.tokens = match (self.limit, limit) {
            (None, _) => -f64::from(u32::try_from(running).unwrap_or(u32::MAX)),
            (Some(_), Some(new)) => self.tokens_at(now).min(burst(new)),
            (Some(_), None) => 0.0,
        };
        self.limit = limit;
        self.updated_at = Some(now);
    }

    /// Returns whether a request may be sent now.
    #[must_use]
    pub fn is_open(&self, now: Instant) -> bool {
        self.limit.is_none() || self.tokens_at(now) >= 1.0
    }

    /// Returns how many requests may be sent now if there is a limit.
    #[must_use]
    pub fn available(&self, now: Instant) -> usize {
        let tokens = self.tokens_at(now).clamp(0.0, f64::from(u32::MAX));
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "it is not negative, and a fraction of a request is not sent"
        )]
        let available = tokens as usize;
        available
    }

    /// Records that a request is sent.
    pub fn record_sent(&mut self, now: Instant) {
        self.sent += 1;
        if self.limit.is_some() {
            self.tokens = self.tokens_at(now) - 1.0;
            self.updated_at = Some(now);
        }
    }

    /// Returns the number of requests sent so far.
    #[must_use]
    pub fn sent(&self) -> u64 {
        self.sent
    }

    /// Returns the time until a request may be sent after `ahead` others.
    #[must_use]
    pub fn wait(&self, ahead: usize, now: Instant) -> Duration {
        let Some(limit) = self.limit else {
            return Duration::ZERO;
        };
        let ahead = f64::from(u32::try_from(ahead).unwrap_or(u32::MAX));
        let missing = (ahead + 1.0 - self.tokens_at(now)).max(0.0);
        Duration::try_from_secs_f64(missing / limit.rate())
            .map_or(MAX_WAIT, |wait| wait.min(MAX_WAIT))
    }

    fn tokens_at(&self, now: Instant) -> f64 {
        let (Some(limit), Some(updated_at)) = (self.limit, self.updated_at) else {
            return self.tokens;
        };
        let elapsed = now.saturating_duration_since(updated_at).as_secs_f64();
        (self.tokens + elapsed * limit.rate()).min(burst(limit))
    }
}

impl Default for RequestPacer {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the requests that may accumulate.
fn burst(limit: RequestLimit) -> f64 {
    (limit.rate() * BURST_TIME.as_secs_f64()).max(1.0)
}
