//! The repeats that a daemon may still send.
//!
//! Answers the load pattern in which a part of the backend servers fails and every caller's request is
//! sent again: without a bound that all daemons share, repeats would add to the load that caused them.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// The buckets that a window is counted in.
const BUCKETS: u32 = 20;
/// The part of the slack that is used, since windows of those who count slide.
const SLACK_PART: f64 = 0.8;
/// The part of the ratio that is used. Requests that backend servers make of each other look like those of
/// callers here but earn nothing, and each repeat of a request repeats the ones that it makes.
const RATIO_PART: f64 = 0.35;

#[derive(Debug, Clone, Copy)]
struct Bucket {
    since: Instant,
    requests: u32,
    repeats: u32,
}

/// Bounds the repeats for one service by the requests for it in a sliding window.
///
/// Every daemon holds an equal part of the fixed slack and earns the ratio on its own requests, so that
/// the sum of all stays below the bound without any message between them.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    window: Duration,
    ratio: f64,
    buckets: VecDeque<Bucket>,
}

impl RetryBudget {
    /// Builds an empty window.
    #[must_use]
    pub fn new(window: Duration, ratio: f64) -> Self {
        Self {
            window,
            ratio,
            buckets: VecDeque::new(),
        }
    }

    /// Takes other bounds; what was counted within the new window stays counted.
    pub fn set_limits(&mut self, window: Duration, ratio: f64) {
        self.window = window;
        self.ratio = ratio;
    }

    /// Counts a request for the service.
    pub fn record_request(&mut self, now: Instant) {
        self.bucket(now).requests += 1;
    }

    /// Takes one repeat if there is one, where this daemon's part of the slack is `slack`.
    pub fn try_spend(&mut self, slack: f64, now: Instant) -> bool {
        self.bucket(now);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let repeats: u32 = self.buckets.iter().map(|bucket| bucket.repeats).sum();
        let earned = self.ratio * RATIO_PART * f64::from(requests);
        let allowed = earned + slack * SLACK_PART;
        let fits = f64::from(repeats) + 1.0 <= allowed;
        if fits {
            self.bucket(now).repeats += 1;
        }
        fits
    }

    fn bucket(&mut self, now: Instant) -> &mut Bucket {
        let kept = |bucket: &Bucket| now.saturating_duration_since(bucket.since) < self.window;
        while self.buckets.front().is_some_and(|bucket| !kept(bucket)) {
            self.buckets.pop_front();
        }
        let width = self.window / BUCKETS;
        let is_open = |bucket: &Bucket| now.saturating_duration_since(bucket.since) < width;
        if !self.buckets.back().is_some_and(is_open) {
            self.buckets.push_back(Bucket {
                since: now,
                requests: 0,
                repeats: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
