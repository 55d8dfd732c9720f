//! What an ingress knows of one executor.

use std::time::Duration;

use marigold_request::router::Ejection;
use tokio::time::Instant;

use crate::SiteReport;

/// How long a report is believed; load changes within a few run times.
const REPORT_TTL: Duration = Duration::from_millis(500);
/// The weight of the newest run in the speed of a backend server, as a part of the whole.
const SPEED_PART: f64 = 16.0;
/// The bounds of one run's ratio to the usual run, so that a single stall does not decide.
const SPEED_RANGE: (f64, f64) = (0.3, 8.0);
/// How long a speed is remembered when no run shows it anew, as a time constant.
const SPEED_MEMORY: Duration = Duration::from_secs(8);

/// Whether an executor can be reached, as far as is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reach {
    /// It was never heard.
    Unknown,
    /// It was heard.
    Up,
    /// It was heard, and an answer is overdue.
    Suspect,
    /// It could not be reached.
    Lost,
}

#[derive(Debug, Clone)]
struct Report {
    site: SiteReport,
    at: Instant,
    own: u32,
}

/// The load, speed and health of one executor, as its answers show them.
#[derive(Debug, Clone)]
pub struct Track {
    in_flight: u32,
    report: Option<Report>,
    speed: f64,
    speed_at: Instant,
    reach: Reach,
    /// Its health by real calls.
    pub ejection: Ejection,
}

impl Track {
    /// Builds the state of an executor of which nothing is known yet.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            in_flight: 0,
            report: None,
            speed: 1.0,
            speed_at: now,
            reach: Reach::Unknown,
            ejection: Ejection::new(now),
        }
    }

    /// Counts a call that goes to it.
    pub fn started(&mut self, now: Instant) {
        self.in_flight += 1;
        self.ejection.started(now);
    }

    /// Counts a call's end.
    pub fn ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Returns the calls of this ingress that have not ended.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Takes in what the executor says of itself, which also shows that it lives.
    pub fn reported(&mut self, report: SiteReport, now: Instant) {
        self.reach = Reach::Up;
        self.report = Some(Report {
            site: report,
            at: now,
            own: self.in_flight,
        });
    }

    /// Takes in how long a run took, as a ratio to the usual run of its kind.
    pub fn ran(&mut self, ratio: f64, now: Instant) {
        let ratio = ratio.clamp(SPEED_RANGE.0, SPEED_RANGE.1);
        let speed = self.speed(now);
        self.speed = speed + (ratio - speed) / SPEED_PART;
        self.speed_at = now;
    }

    /// Returns how long its runs take, relative to the usual run.
    #[must_use]
    pub fn speed(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.speed_at).as_secs_f64();
        let weight = (-age / SPEED_MEMORY.as_secs_f64()).exp();
        1.0 + (self.speed - 1.0) * weight
    }

    /// Takes in that it could not be reached; the next report shows that it can.
    pub fn unreachable(&mut self) {
        self.reach = Reach::Lost;
    }

    /// Takes in that it is silent while an answer is due; the next report shows that it is not.
    pub fn silent(&mut self) {
        if self.reach == Reach::Up {
            self.reach = Reach::Suspect;
        }
    }

    /// Returns whether calls may go to it.
    #[must_use]
    pub fn takes_calls(&self, now: Instant) -> bool {
        self.reach == Reach::Up && self.ejection.takes_calls(now)
    }

    /// Returns whether the executor has been heard and not been lost since; it may be silent.
    #[must_use]
    pub fn is_up(&self) -> bool {
        matches!(self.reach, Reach::Up | Reach::Suspect)
    }

    /// Returns whether it could not be reached since it was last heard.
    #[must_use]
    pub fn is_lost(&self) -> bool {
        self.reach == Reach::Lost
    }

    /// Returns the last report, fresh or not.
    #[must_use]
    pub fn report(&self) -> Option<&SiteReport> {
        self.report.as_ref().map(|heard| &heard.site)
    }

    /// Estimates the requests at the executor: what it said last, and this ingress's own calls since.
    #[must_use]
    pub fn requests(&self, now: Instant) -> u32 {
        let Some(heard) = self.fresh(now) else {
            return self.in_flight;
        };
        let said = heard.site.busy.0 + heard.site.queued.0;
        let known = said.saturating_add(self.in_flight);
        known.saturating_sub(heard.own).max(self.in_flight)
    }

    fn fresh(&self, now: Instant) -> Option<&Report> {
        let is_fresh = |heard: &&Report| now.saturating_duration_since(heard.at) < REPORT_TTL;
        self.report.as_ref().filter(is_fresh)
    }
}
