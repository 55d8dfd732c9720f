//! Limits the number of retries.
//!
//! Load pattern: some backend servers fail and the requests of every caller are retried. Without a limit
//! shared by all daemons, retries would amplify the load that caused the failures. Where all servers of a service
//! reject at random, fewer retries are allowed than asked for, and the most urgent are granted; see
//! docs/design/retries.md.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::retries::retry_request::RETRY_LEVELS;
use crate::{RequestOrigin, RetryRequest};

/// The number of buckets in a window.
const BUCKETS: u32 = 20;
/// The number of latest buckets from which the demand for retries is estimated.
const DEMAND_BUCKETS: u32 = 2;
/// The time, in buckets, for which retries of more urgent requests are kept back: half of the window, since a fault
/// may end before the whole window is over.
const RESERVED_BUCKETS: u32 = BUCKETS / 2;
/// The fraction of the retry ratio that is used while requests of callers and calls of backend servers, which earn no
/// retries, can't be told apart.
const USED_RETRY_RATIO: f64 = 0.35;
/// The fraction that is used where requests are known to be of callers. The rest is for the calls of retried runs,
/// which count as retries at the services called.
const USED_CALLER_RETRY_RATIO: f64 = 0.6;

#[derive(Debug, Clone, Copy)]
struct Bucket {
    opened_at: Instant,
    /// The sum over its requests of the fraction of the retry ratio that each earns.
    earned: f64,
    retries: u32,
    /// The retries that were asked for, at each level of urgency.
    asked: [u32; RETRY_LEVELS],
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
    pub fn record_request(&mut self, origin: RequestOrigin, now: Instant) {
        let used = match origin {
            RequestOrigin::Caller => USED_CALLER_RETRY_RATIO,
            RequestOrigin::BackendServer => 0.0,
            RequestOrigin::Unknown => USED_RETRY_RATIO,
        };
        self.current_bucket(now).earned += used;
    }

    /// Spends one retry if the budget allows it. `slack` is this daemon's share of the slack, in retries.
    ///
    /// Retries that more urgent requests will ask for, judged by the last second, are kept back.
    pub fn try_spend(&mut self, slack: f64, request: RetryRequest, now: Instant) -> bool {
        let level = request.level();
        self.current_bucket(now).asked[level] += 1;
        let earned: f64 = self.buckets.iter().map(|bucket| bucket.earned).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let allowed = self.ratio * earned + slack;
        let fits = f64::from(retries) + 1.0 + self.reserved(level, now) <= allowed;
        if fits {
            self.current_bucket(now).retries += 1;
        }
        fits
    }

    /// Returns the retries that are kept back for requests more urgent than `level`.
    fn reserved(&self, level: usize, now: Instant) -> f64 {
        let span = self.window / BUCKETS * DEMAND_BUCKETS;
        let is_recent = |bucket: &&Bucket| now.saturating_duration_since(bucket.opened_at) < span;
        let recent = self.buckets.iter().rev().take_while(is_recent);
        let asked: u32 = recent.flat_map(|bucket| &bucket.asked[..level]).sum();
        f64::from(asked) * f64::from(RESERVED_BUCKETS) / f64::from(DEMAND_BUCKETS)
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
                earned: 0.0,
                retries: 0,
                asked: [0; RETRY_LEVELS],
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
