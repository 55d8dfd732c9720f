//! One daemon's use of one limit.

use std::time::Duration;

use marigold_types::Interval;
use tokio::time::Instant;

use crate::limits::{MilliRate, TokenBucket};

/// How often the keeper is asked until it has given a share.
const PERIOD: Duration = Duration::from_secs(2);
/// How soon the keeper is asked for a first share when a call is refused; each question without an
/// answer doubles it.
const HURRY: Duration = Duration::from_millis(200);
/// The part of a lease after which the keeper is asked again.
const PERIOD_PART: u32 = 3;
/// The weight of the time since the last measure, as a part of the whole.
const NEWEST_PART: u64 = 2;
/// The demand below which a limit counts as unused, in thousandths of a call a second.
const MIN_DEMAND: u64 = 10;

/// What one daemon passes of one limit.
#[derive(Debug, Clone)]
pub struct User {
    bucket: TokenBucket,
    floor: MilliRate,
    /// The share and when it ends.
    share: Option<(MilliRate, Instant)>,
    /// Calls since `since`, passed or not.
    asked: u64,
    since: Instant,
    demand: MilliRate,
    /// How often the keeper is asked.
    period: Duration,
    /// Questions since the keeper last answered.
    unanswered: u32,
    /// Whether a call was refused since the keeper was asked.
    refused: bool,
    /// When the keeper was asked last.
    sent: Option<Instant>,
}

impl User {
    /// Builds the use of a limit of which nothing has been asked yet.
    pub fn new(floor: MilliRate, now: Instant) -> Self {
        Self {
            bucket: TokenBucket::new(floor, now),
            floor,
            share: None,
            asked: 0,
            since: now,
            demand: MilliRate(0),
            period: PERIOD,
            unanswered: 0,
            refused: false,
            sent: None,
        }
    }

    /// Takes another rate that is passed without a share.
    pub fn set_floor(&mut self, floor: MilliRate, now: Instant) {
        self.floor = floor;
        self.refill(now);
    }

    /// Passes one call or says when to come back.
    pub fn take(&mut self, now: Instant) -> Result<(), Option<Interval>> {
        self.asked += 1;
        if self.share.is_some_and(|(_, until)| until <= now) {
            self.share = None;
            self.refill(now);
        }
        let passed = self.bucket.take(now);
        self.refused |= passed.is_err();
        passed
    }

    /// Measures the demand and returns it if the keeper is to be asked now.
    pub fn ask(&mut self, now: Instant) -> Option<MilliRate> {
        let passed = now.saturating_duration_since(self.since);
        if passed < self.wait() {
            return None;
        }
        let millis = u64::try_from(passed.as_millis()).unwrap_or(u64::MAX).max(1);
        let newest = self.asked.saturating_mul(1_000_000) / millis;
        let older = self.demand.0 - self.demand.0 / NEWEST_PART;
        self.demand = MilliRate(older + newest / NEWEST_PART);
        self.asked = 0;
        self.since = now;
        self.refused = false;
        self.unanswered += 1;
        self.sent = Some(now);
        (self.demand.0 >= MIN_DEMAND).then_some(self.demand)
    }

    /// Takes the keeper's answer; the lease counts from when it was asked.
    pub fn granted(&mut self, rate: MilliRate, lease: Duration, now: Instant) {
        let Some(sent) = self.sent else {
            return;
        };
        self.unanswered = 0;
        self.period = (lease / PERIOD_PART).max(PERIOD);
        self.share = (sent + lease > now).then_some((rate, sent + lease));
        self.refill(now);
    }

    /// Returns whether nobody asks for it any more.
    pub fn is_idle(&self, now: Instant) -> bool {
        let is_over = self.share.is_none_or(|(_, until)| until <= now);
        is_over && self.asked == 0 && self.demand.0 < MIN_DEMAND
    }

    /// Returns how long to wait after a question before the next one.
    fn wait(&self) -> Duration {
        if self.share.is_some() || !self.refused {
            return self.period;
        }
        let hurry = HURRY * 2_u32.pow(self.unanswered.min(8));
        hurry.min(self.period)
    }

    fn refill(&mut self, now: Instant) {
        let share = self.share.map_or(0, |(rate, _)| rate.0);
        let rate = MilliRate(self.floor.0.saturating_add(share));
        self.bucket.set_rate(rate, now);
    }
}
