//! What one daemon counts.

use std::collections::BTreeMap;
use std::time::Duration;

use marigold_config::{Config, Objective};
use marigold_types::{Class, DataCentre, Interval, Outcome, ServiceName};
use tokio::time::Instant;

use crate::RefusalReason;
use crate::burn::{BurnReport, Cause, ServiceBurn, SlidingWindow, Tally, WindowTallies};

/// The short window over which a burn rate is given.
const SHORT: Duration = Duration::from_mins(5);
/// The long window over which a burn rate is given.
const LONG: Duration = Duration::from_hours(1);
/// The most services that are counted.
const MAX_SERVICES: usize = 1024;
/// The lowest HTTP status of a backend server's own failure.
const FAILURE_STATUS: u16 = 500;

/// The end of a call as its caller saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallEnd {
    /// What its caller was told.
    pub outcome: Outcome,
    /// The HTTP status of the backend server, where it answered.
    pub status: Option<u16>,
    /// Why it did not run, where it did not.
    pub refusal: Option<RefusalReason>,
    /// From its head to the end of its answer.
    pub elapsed: Duration,
}

impl CallEnd {
    /// Returns why the call was bad, or none if it was good.
    ///
    /// A caller that left, asked for what is not there, or sent a wrong key is no fault of a service.
    fn fault(&self) -> Option<Cause> {
        match (self.outcome, self.refusal) {
            (Outcome::Answered, _) if self.status >= Some(FAILURE_STATUS) => Some(Cause::Failed),
            (Outcome::Answered, _) => None,
            (Outcome::Unknown, _) | (Outcome::NotRun, None) => Some(Cause::Unknown),
            (Outcome::NotRun, Some(reason)) => Some(Cause::NotRun(reason)),
        }
    }

    /// Returns whether the call says nothing of the service.
    fn is_callers_own(&self) -> bool {
        use RefusalReason::{Cancelled, KeyInvalid, KeyReused, NoRoute};
        matches!(
            self.refusal,
            Some(Cancelled | KeyInvalid | KeyReused | NoRoute)
        )
    }
}

/// The windows of one service and class.
#[derive(Debug, Clone)]
struct Windows {
    recent: SlidingWindow,
    whole: SlidingWindow,
}

/// Counts the good and bad calls of each service that has an objective.
///
/// Memory is bounded by the declared services: an undeclared one is not counted.
#[derive(Debug, Clone)]
pub struct BurnCounters {
    data_centre: DataCentre,
    started: Instant,
    services: BTreeMap<ServiceName, Counted>,
}

/// What is counted of one service.
#[derive(Debug, Clone)]
struct Counted {
    objective: Objective,
    since: Instant,
    classes: [Option<Windows>; Class::ALL.len()],
}

impl BurnCounters {
    /// Builds the counters of a daemon that starts at `now`.
    #[must_use]
    pub fn new(data_centre: DataCentre, now: Instant) -> Self {
        Self {
            data_centre,
            started: now,
            services: BTreeMap::new(),
        }
    }

    /// Takes the objectives of a configuration; counts start anew where one changed.
    pub fn set_config(&mut self, config: &Config, now: Instant) {
        self.services.retain(|name, counted| {
            config
                .objective(name)
                .is_some_and(|objective| *objective == counted.objective)
        });
        let names = config
            .declarations()
            .keys()
            .filter_map(|resource| match resource {
                marigold_config::Resource::Objective(name) => Some(name),
                _ => None,
            });
        for name in names.take(MAX_SERVICES) {
            let Some(objective) = config.objective(name) else {
                continue;
            };
            self.services
                .entry(name.clone())
                .or_insert_with(|| Counted {
                    objective: objective.clone(),
                    since: now,
                    classes: [const { None }; Class::ALL.len()],
                });
        }
    }

    /// Counts one call.
    pub fn count(&mut self, service: &ServiceName, class: Class, end: &CallEnd, now: Instant) {
        let Some(counted) = self.services.get_mut(service) else {
            return;
        };
        if end.is_callers_own() {
            return;
        }
        let window = counted.objective.window.duration();
        let windows = counted.classes[class.index()].get_or_insert_with(|| Windows {
            recent: SlidingWindow::new(LONG, now),
            whole: SlidingWindow::new(window, now),
        });
        let fault = end.fault();
        let is_fast = fault.is_none() && end.elapsed <= counted.objective.latency.duration();
        let cause = fault.or((!is_fast).then_some(Cause::Slow));
        for ring in [&mut windows.recent, &mut windows.whole] {
            ring.count(fault.is_none(), is_fast, cause, now);
        }
    }

    /// Returns what was counted, as one daemon's part of the mesh's report.
    pub fn report(&mut self, now: Instant) -> BurnReport {
        let age = now.saturating_duration_since(self.started);
        let centre = &self.data_centre;
        let services = self
            .services
            .iter_mut()
            .map(|(name, counted)| counted.report(name, centre, now))
            .collect();
        BurnReport {
            daemons: 1,
            missing: 0,
            youngest: interval(age),
            services,
        }
    }
}

impl Counted {
    fn report(&mut self, name: &ServiceName, centre: &DataCentre, now: Instant) -> ServiceBurn {
        let covered = now.saturating_duration_since(self.since);
        let mut burn = ServiceBurn::new(name.clone(), self.objective.clone());
        burn.covered = interval(covered.min(self.objective.window.duration()));
        for class in Class::ALL {
            let Some(windows) = &mut self.classes[class.index()] else {
                continue;
            };
            let whole = windows.whole.tally(self.objective.window.duration(), now);
            let spend = WindowTallies {
                short: windows.recent.tally(SHORT, now),
                long: windows.recent.tally(LONG, now),
                whole,
            };
            burn.add(class, centre, spend, &windows.whole.causes(now));
        }
        burn
    }
}

impl Tally {
    /// Adds other counts to these.
    pub fn add(&mut self, other: Self) {
        self.calls += other.calls;
        self.bad += other.bad;
        self.slow += other.slow;
    }
}

fn interval(time: Duration) -> Interval {
    Interval::from_millis(u64::try_from(time.as_millis()).unwrap_or(u64::MAX))
}
