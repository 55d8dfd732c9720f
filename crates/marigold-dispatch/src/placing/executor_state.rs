//! The state of one executor, as seen by an ingress.

use std::time::Duration;

use marigold_request::router::Ejection;
use tokio::time::Instant;

use crate::SiteReport;

/// The age after which a report is ignored: several times its decay time.
const REPORT_TTL: Duration = Duration::from_secs(4);
/// The time constant with which a report's weight decays in favour of the average of other executors: several
/// typical run times, the interval between reports in a large mesh of small servers.
const REPORT_DECAY_TIME: Duration = Duration::from_millis(1_500);
/// The divisor of the moving average of a backend server's slowness: a new run has a weight of 1/16.
const SLOWNESS_SMOOTHING_DIVISOR: f64 = 16.0;
/// The bounds of the ratio between one run and the average run, so that a single stall has limited effect.
const SLOWNESS_RANGE: (f64, f64) = (0.3, 8.0);
/// The divisor of the moving average of a backend server's expected loss: a new call has a weight of 1/16.
const LOSS_SMOOTHING_DIVISOR: f64 = 16.0;
/// The time constant of the decay of the expected loss without further failures: a recovered server gets its
/// share of requests back within seconds.
const LOSS_DECAY_TIME: Duration = Duration::from_secs(4);
/// The time constant with which slowness decays to 1 without further runs.
const SLOWNESS_DECAY_TIME: Duration = Duration::from_secs(8);

/// Whether an executor is reachable, as last observed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reachability {
    /// It has never sent a report.
    Unknown,
    /// It has sent a report.
    Up,
    /// It has sent a report, but a response is overdue.
    Suspect,
    /// The link to it failed.
    Unreachable,
}

/// How an executor became reachable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reached {
    /// For the first time.
    First,
    /// After it was silent or unreachable.
    Again,
}

#[derive(Debug, Clone)]
struct ReceivedReport {
    report: SiteReport,
    received_at: Instant,
    /// This ingress's calls in flight when the report arrived.
    in_flight: u32,
}

impl ReceivedReport {
    /// Returns the number of running and queued requests.
    fn requests(&self) -> f64 {
        f64::from(self.report.busy.0.saturating_add(self.report.queued.0))
    }

    /// Returns the weight of the report at its current age, from 1 down to 0.
    fn weight(&self, now: Instant) -> f64 {
        let age = now
            .saturating_duration_since(self.received_at)
            .as_secs_f64();
        (-age / REPORT_DECAY_TIME.as_secs_f64()).exp()
    }
}

/// The load, slowness and health of one executor, derived from its responses.
#[derive(Debug, Clone)]
pub struct ExecutorState {
    in_flight: u32,
    report: Option<ReceivedReport>,
    slowness: f64,
    slowness_at: Instant,
    expected_loss: f64,
    expected_loss_at: Instant,
    reachability: Reachability,
    /// Passive outlier detection based on call outcomes.
    pub ejection: Ejection,
}

impl ExecutorState {
    /// Builds the state of an executor without any reports or calls.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            in_flight: 0,
            report: None,
            slowness: 1.0,
            slowness_at: now,
            expected_loss: 0.0,
            expected_loss_at: now,
            reachability: Reachability::Unknown,
            ejection: Ejection::new(now),
        }
    }

    /// Records the start of a call to the executor.
    pub fn call_started(&mut self, now: Instant) {
        self.in_flight += 1;
        self.ejection.started(now);
    }

    /// Records the end of a call to the executor.
    pub fn call_ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Returns the number of this ingress's calls in flight.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Applies a report from the executor, which also marks it reachable. Returns how it became reachable, or
    /// `None` if it already was.
    pub fn apply_report(&mut self, report: SiteReport, now: Instant) -> Option<Reached> {
        let before = std::mem::replace(&mut self.reachability, Reachability::Up);
        self.report = Some(ReceivedReport {
            report,
            received_at: now,
            in_flight: self.in_flight,
        });
        match before {
            Reachability::Unknown => Some(Reached::First),
            Reachability::Up => None,
            Reachability::Suspect | Reachability::Unreachable => Some(Reached::Again),
        }
    }

    /// Records the run time of a request, as a ratio to the average run time of its kind.
    pub fn record_run(&mut self, ratio: f64, now: Instant) {
        let ratio = ratio.clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
        let slowness = self.slowness(now);
        self.slowness = slowness + (ratio - slowness) / SLOWNESS_SMOOTHING_DIVISOR;
        self.slowness_at = now;
    }

    /// Returns the executor's run times relative to the average; 1 is average, more is slower.
    #[must_use]
    pub fn slowness(&self, now: Instant) -> f64 {
        let age = now
            .saturating_duration_since(self.slowness_at)
            .as_secs_f64();
        let weight = (-age / SLOWNESS_DECAY_TIME.as_secs_f64()).exp();
        1.0 + (self.slowness - 1.0) * weight
    }

    /// Records the fraction of a request's value that a call to the backend server lost.
    pub fn record_loss(&mut self, lost: f64, now: Instant) {
        let current = self.expected_loss(now);
        self.expected_loss = current + (lost - current) / LOSS_SMOOTHING_DIVISOR;
        self.expected_loss_at = now;
    }

    /// Returns the fraction of a request's value that a call is expected to lose to failures.
    #[must_use]
    pub fn expected_loss(&self, now: Instant) -> f64 {
        let age = now
            .saturating_duration_since(self.expected_loss_at)
            .as_secs_f64();
        self.expected_loss * (-age / LOSS_DECAY_TIME.as_secs_f64()).exp()
    }

    /// Marks the executor unreachable until its next report; returns whether the state changed.
    pub fn mark_unreachable(&mut self) -> bool {
        std::mem::replace(&mut self.reachability, Reachability::Unreachable)
            != Reachability::Unreachable
    }

    /// Marks the executor suspect until its next report, as a response is overdue; returns whether the state
    /// changed.
    pub fn mark_silent(&mut self) -> bool {
        let has_changed = self.reachability == Reachability::Up;
        if has_changed {
            self.reachability = Reachability::Suspect;
        }
        has_changed
    }

    /// Returns whether calls may be sent to the executor.
    #[must_use]
    pub fn takes_calls(&self, now: Instant) -> bool {
        self.reachability == Reachability::Up && self.ejection.takes_calls(now)
    }

    /// Returns whether the executor has sent a report and its link has not failed since; it may be silent.
    #[must_use]
    pub fn is_up(&self) -> bool {
        matches!(self.reachability, Reachability::Up | Reachability::Suspect)
    }

    /// Returns whether the link to the executor has failed since its last report.
    #[must_use]
    pub fn is_unreachable(&self) -> bool {
        self.reachability == Reachability::Unreachable
    }

    /// Returns the last report, regardless of age.
    #[must_use]
    pub fn report(&self) -> Option<&SiteReport> {
        self.report.as_ref().map(|last| &last.report)
    }

    /// Estimates the number of requests at the executor from its last report and this ingress's calls since.
    ///
    /// As the report ages, the estimate approaches the average of the service's executors, `mean_occupancy`
    /// requests per slot: an executor without recent reports is unlikely to be free when all others are full.
    #[must_use]
    pub fn requests(&self, mean_occupancy: f64, now: Instant) -> f64 {
        let own = f64::from(self.in_flight);
        let Some(last) = &self.report else {
            return own;
        };
        let weight = last.weight(now);
        let reported = last.requests();
        let average = mean_occupancy * f64::from(last.report.slots.0);
        let since = own - f64::from(last.in_flight);
        (weight * reported + (1.0 - weight) * average + since).max(own)
    }

    /// Returns the reported number of requests per slot and the weight of the report.
    #[must_use]
    pub fn occupancy(&self, now: Instant) -> Option<(f64, f64)> {
        let last = self.fresh_report(now)?;
        let slots = f64::from(last.report.slots.0);
        (slots > 0.0).then(|| (last.requests() / slots, last.weight(now)))
    }

    fn fresh_report(&self, now: Instant) -> Option<&ReceivedReport> {
        let is_fresh =
            |last: &&ReceivedReport| now.saturating_duration_since(last.received_at) < REPORT_TTL;
        self.report.as_ref().filter(is_fresh)
    }
}
