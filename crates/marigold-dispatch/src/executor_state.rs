//! What an ingress knows of one executor.

use std::time::Duration;

use marigold_request::router::Ejection;
use tokio::time::Instant;

use crate::SiteReport;

/// How long a report tells anything: some times the time in which it loses most of its weight.
const REPORT_TTL: Duration = Duration::from_secs(4);
/// How long a report outweighs what is usual at others, as a time constant: some runs of usual length, since
/// the load model's many small servers hear of each other about that often.
const REPORT_MEMORY: Duration = Duration::from_millis(1_500);
/// The weight of the newest run in the speed of a backend server, as a part of the whole.
const SPEED_PART: f64 = 16.0;
/// The bounds of one run's ratio to the usual run, so that a single stall does not decide.
const SPEED_RANGE: (f64, f64) = (0.3, 8.0);
/// The weight of the newest call in the harm of a backend server, as a part of the whole.
const HARM_PART: f64 = 16.0;
/// How long harm is remembered when no call shows it anew, as a time constant: a server that has recovered
/// gets its share back within some seconds.
const HARM_MEMORY: Duration = Duration::from_secs(4);
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

/// How an executor came to be reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reached {
    /// For the first time.
    First,
    /// After it was silent or lost.
    Again,
}

#[derive(Debug, Clone)]
struct Report {
    site: SiteReport,
    at: Instant,
    own: u32,
}

impl Report {
    /// Returns the requests that it tells of.
    fn requests(&self) -> f64 {
        f64::from(self.site.busy.0.saturating_add(self.site.queued.0))
    }

    /// Returns how much it is still worth.
    fn weight(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        (-age / REPORT_MEMORY.as_secs_f64()).exp()
    }
}

/// The load, speed and health of one executor, as its answers show them.
#[derive(Debug, Clone)]
pub struct ExecutorState {
    in_flight: u32,
    report: Option<Report>,
    speed: f64,
    speed_at: Instant,
    harm: f64,
    harm_at: Instant,
    reach: Reach,
    /// Its health by real calls.
    pub ejection: Ejection,
}

impl ExecutorState {
    /// Builds the state of an executor of which nothing is known yet.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            in_flight: 0,
            report: None,
            speed: 1.0,
            speed_at: now,
            harm: 0.0,
            harm_at: now,
            reach: Reach::Unknown,
            ejection: Ejection::new(now),
        }
    }

    /// Counts a call that goes to it.
    pub fn call_started(&mut self, now: Instant) {
        self.in_flight += 1;
        self.ejection.started(now);
    }

    /// Counts a call's end.
    pub fn call_ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Returns the calls of this ingress that have not ended.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Takes in what the executor says of itself, which also shows that it lives; returns how it came to
    /// be reached, none if it was before.
    pub fn apply_report(&mut self, report: SiteReport, now: Instant) -> Option<Reached> {
        let before = std::mem::replace(&mut self.reach, Reach::Up);
        self.report = Some(Report {
            site: report,
            at: now,
            own: self.in_flight,
        });
        match before {
            Reach::Unknown => Some(Reached::First),
            Reach::Up => None,
            Reach::Suspect | Reach::Lost => Some(Reached::Again),
        }
    }

    /// Takes in how long a run took, as a ratio to the usual run of its kind.
    pub fn record_run(&mut self, ratio: f64, now: Instant) {
        let ratio = ratio.clamp(SPEED_RANGE.0, SPEED_RANGE.1);
        let speed = self.slowness(now);
        self.speed = speed + (ratio - speed) / SPEED_PART;
        self.speed_at = now;
    }

    /// Returns how long its runs take, relative to the usual run.
    #[must_use]
    pub fn slowness(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.speed_at).as_secs_f64();
        let weight = (-age / SPEED_MEMORY.as_secs_f64()).exp();
        1.0 + (self.speed - 1.0) * weight
    }

    /// Takes in how a call to its backend server ended, as the part of the request's value that was lost.
    pub fn record_loss(&mut self, lost: f64, now: Instant) {
        let harm = self.expected_loss(now);
        self.harm = harm + (lost - harm) / HARM_PART;
        self.harm_at = now;
    }

    /// Returns the part of a request's value that a call is expected to lose by failures.
    #[must_use]
    pub fn expected_loss(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.harm_at).as_secs_f64();
        self.harm * (-age / HARM_MEMORY.as_secs_f64()).exp()
    }

    /// Takes in that it could not be reached, until the next report; returns whether that is news.
    pub fn mark_unreachable(&mut self) -> bool {
        std::mem::replace(&mut self.reach, Reach::Lost) != Reach::Lost
    }

    /// Takes in that it is silent while an answer is due, until the next report; returns whether that is
    /// news.
    pub fn mark_silent(&mut self) -> bool {
        let is_news = self.reach == Reach::Up;
        if is_news {
            self.reach = Reach::Suspect;
        }
        is_news
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
    pub fn is_unreachable(&self) -> bool {
        self.reach == Reach::Lost
    }

    /// Returns the last report, fresh or not.
    #[must_use]
    pub fn report(&self) -> Option<&SiteReport> {
        self.report.as_ref().map(|heard| &heard.site)
    }

    /// Estimates the requests at the executor: what it said last, and this ingress's own calls since.
    ///
    /// The older its report, the more it is taken to be like others of its service, with `usual` requests
    /// for each slot: one that was not heard for a while is not free when all others are full.
    #[must_use]
    pub fn requests(&self, usual: f64, now: Instant) -> f64 {
        let own = f64::from(self.in_flight);
        let Some(heard) = &self.report else {
            return own;
        };
        let weight = heard.weight(now);
        let said = heard.requests();
        let like_others = usual * f64::from(heard.site.slots.0);
        let since = own - f64::from(heard.own);
        (weight * said + (1.0 - weight) * like_others + since).max(own)
    }

    /// Returns the requests for each slot that its report tells of, with how much that is still worth.
    #[must_use]
    pub fn fill(&self, now: Instant) -> Option<(f64, f64)> {
        let heard = self.fresh(now)?;
        let slots = f64::from(heard.site.slots.0);
        (slots > 0.0).then(|| (heard.requests() / slots, heard.weight(now)))
    }

    fn fresh(&self, now: Instant) -> Option<&Report> {
        let is_fresh = |heard: &&Report| now.saturating_duration_since(heard.at) < REPORT_TTL;
        self.report.as_ref().filter(is_fresh)
    }
}
