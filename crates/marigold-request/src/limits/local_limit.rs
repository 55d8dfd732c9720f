//! One daemon's local state of one shared rate limit.

use std::time::Duration;

use marigold_types::Interval;
use tokio::time::Instant;

use crate::limits::{MilliRate, TokenBucket};

/// The interval between demands until the allocator has granted a share, and the shortest one after
/// that.
const DEMAND_INTERVAL: Duration = Duration::from_secs(2);
/// The base interval between demands while there is no share and calls are refused; each unanswered
/// demand doubles it.
const URGENT_DEMAND_INTERVAL: Duration = Duration::from_millis(200);
/// A share is renewed after the lease divided by this.
const RENEWAL_DIVISOR: u32 = 3;
/// The divisor of the moving average of the demand: the newest sample has a weight of 1/2.
const SMOOTHING_DIVISOR: u64 = 2;
/// The demand below which a limit counts as unused, in thousandths of a call per second.
const MIN_DEMAND_MILLI_RATE: u64 = 10;

/// Passes calls at the floor rate plus the share that the allocator has granted.
#[derive(Debug, Clone)]
pub struct LocalLimit {
    bucket: TokenBucket,
    /// The rate that is passed without a share.
    floor: MilliRate,
    /// The share and the end of its lease.
    share: Option<(MilliRate, Instant)>,
    /// Calls since `measured_at`, passed or refused.
    calls: u64,
    measured_at: Instant,
    demand: MilliRate,
    /// The usual interval between demands.
    interval: Duration,
    /// Demands since the allocator last answered.
    unanswered: u32,
    /// Whether a call was refused since the last demand.
    refused: bool,
    /// When the last demand was sent.
    demanded_at: Option<Instant>,
}

impl LocalLimit {
    /// Creates the state of a limit without a share.
    pub fn new(floor: MilliRate, now: Instant) -> Self {
        Self {
            bucket: TokenBucket::new(floor, now),
            floor,
            share: None,
            calls: 0,
            measured_at: now,
            demand: MilliRate(0),
            interval: DEMAND_INTERVAL,
            unanswered: 0,
            refused: false,
            demanded_at: None,
        }
    }

    /// Changes the rate that is passed without a share.
    pub fn set_floor(&mut self, floor: MilliRate, now: Instant) {
        self.floor = floor;
        self.update_rate(now);
    }

    /// Passes one call, or returns the delay until one may pass; none if the rate is zero.
    pub fn take(&mut self, now: Instant) -> Result<(), Option<Interval>> {
        self.calls += 1;
        if self.share.is_some_and(|(_, expires_at)| expires_at <= now) {
            self.share = None;
            self.update_rate(now);
        }
        let passed = self.bucket.take(now);
        self.refused |= passed.is_err();
        passed
    }

    /// Measures the demand and returns it if it is due to be sent to the allocator.
    pub fn next_demand(&mut self, now: Instant) -> Option<MilliRate> {
        let elapsed = now.saturating_duration_since(self.measured_at);
        if elapsed < self.demand_interval() {
            return None;
        }
        let millis = u64::try_from(elapsed.as_millis())
            .unwrap_or(u64::MAX)
            .max(1);
        let newest = self.calls.saturating_mul(1_000_000) / millis;
        let older = self.demand.0 - self.demand.0 / SMOOTHING_DIVISOR;
        self.demand = MilliRate(older + newest / SMOOTHING_DIVISOR);
        self.calls = 0;
        self.measured_at = now;
        self.refused = false;
        self.unanswered += 1;
        self.demanded_at = Some(now);
        (self.demand.0 >= MIN_DEMAND_MILLI_RATE).then_some(self.demand)
    }

    /// Applies the allocator's answer; the lease counts from when the demand was sent.
    pub fn apply_grant(&mut self, rate: MilliRate, lease: Duration, now: Instant) {
        let Some(demanded_at) = self.demanded_at else {
            return;
        };
        self.unanswered = 0;
        self.interval = (lease / RENEWAL_DIVISOR).max(DEMAND_INTERVAL);
        let expires_at = demanded_at + lease;
        self.share = (expires_at > now).then_some((rate, expires_at));
        self.update_rate(now);
    }

    /// Returns whether the limit is unused and holds no share.
    pub fn is_idle(&self, now: Instant) -> bool {
        let is_expired = self.share.is_none_or(|(_, expires_at)| expires_at <= now);
        is_expired && self.calls == 0 && self.demand.0 < MIN_DEMAND_MILLI_RATE
    }

    /// Returns the interval between the last demand and the next one.
    fn demand_interval(&self) -> Duration {
        if self.share.is_some() || !self.refused {
            return self.interval;
        }
        let interval = URGENT_DEMAND_INTERVAL * 2_u32.pow(self.unanswered.min(8));
        interval.min(self.interval)
    }

    fn update_rate(&mut self, now: Instant) {
        let share = self.share.map_or(0, |(rate, _)| rate.0);
        let rate = MilliRate(self.floor.0.saturating_add(share));
        self.bucket.set_rate(rate, now);
    }
}
