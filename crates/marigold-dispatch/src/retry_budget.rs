//! Limits the number of retries.
//!
//! Load pattern: some backend servers fail and the requests of every caller are retried. Without a limit
//! shared by all daemons, retries would amplify the load that caused the failures.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// The number of buckets in a window.
const BUCKETS: u32 = 20;
/// The fraction of the retry ratio that is used. Requests between backend servers count here like caller
/// requests but earn no retries, and each retry of a request also repeats the requests that it makes.
const USED_RETRY_RATIO: f64 = 0.35;

#[derive(Debug, Clone, Copy)]
struct Bucket {
    opened_at: Instant,
    requests: u32,
    retries: u32,
}

/// Limits the retries for one service to a ratio of its requests in a sliding window, plus a fixed slack.
///
/// Every daemon has a share of the slack ([`SlackShare`](crate::SlackShare)) and earns retries from its own requests, so the total stays
/// below the limit without coordination between daemons.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    window: Duration,
    ratio: f64,
    buckets: VecDeque<Bucket>,
}

impl RetryBudget {
    /// Builds a budget with an empty window.
    #[must_use]
    pub fn new(window: Duration, ratio: f64) -> Self {
        Self {
            window,
            ratio,
            buckets: VecDeque::new(),
        }
    }

    /// Changes the limits. Requests and retries within the new window remain counted.
    pub fn set_limits(&mut self, window: Duration, ratio: f64) {
        self.window = window;
        self.ratio = ratio;
    }

    /// Records a request for the service.
    pub fn record_request(&mut self, now: Instant) {
        self.current_bucket(now).requests += 1;
    }

    /// Spends one retry if the budget allows it. `slack` is this daemon's share of the slack, in retries.
    pub fn try_spend(&mut self, slack: f64, now: Instant) -> bool {
        self.current_bucket(now);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let earned = self.ratio * USED_RETRY_RATIO * f64::from(requests);
        let allowed = earned + slack;
        let fits = f64::from(retries) + 1.0 <= allowed;
        if fits {
            self.current_bucket(now).retries += 1;
        }
        fits
    }

    fn current_bucket(&mut self, now: Instant) -> &mut Bucket {
        let kept = |bucket: &Bucket| now.saturating_duration_since(bucket.opened_at) < self.window;
        while self.buckets.front().is_some_and(|bucket| !kept(bucket)) {
            self.buckets.pop_front();
        }
        let width = self.window / BUCKETS;
        let is_open = |bucket: &Bucket| now.saturating_duration_since(bucket.opened_at) < width;
        if !self.buckets.back().is_some_and(is_open) {
            self.buckets.push_back(Bucket {
                opened_at: now,
                requests: 0,
                retries: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
