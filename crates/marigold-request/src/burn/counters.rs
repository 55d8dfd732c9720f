//! The call counters of one daemon.

use std::collections::BTreeMap;
use std::time::Duration;

use marigold_config::{Config, Objective};
use marigold_types::{Class, DataCentre, Interval, Outcome, ServiceName};
use tokio::time::Instant;

use crate::RefusalReason;
use crate::burn::{BurnReport, Cause, ServiceBurn, SlidingWindow, Tally, WindowTallies};

/// The short window of burn rates.
const SHORT_WINDOW: Duration = Duration::from_mins(5);
/// The long window of burn rates.
const LONG_WINDOW: Duration = Duration::from_hours(1);
/// The maximum number of counted services.
const MAX_SERVICES: usize = 1024;
/// The lowest HTTP status that counts as a failure of the backend server.
const MIN_FAILURE_STATUS: u16 = 500;

/// The result of a call as seen by its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallEnd {
    /// The outcome reported to the caller.
    pub outcome: Outcome,
    /// The HTTP status of the backend server; `None` if it did not answer.
    pub status: Option<u16>,
    /// Why the call did not run; `None` if it ran or may have run.
    pub refusal: Option<RefusalReason>,
    /// The time from the head of the call to the end of its answer.
    pub elapsed: Duration,
}

impl CallEnd {
    /// Returns why the call was bad, or `None` if it was good.
    ///
    /// An answer with a status below 500, such as 404, is no fault of the service.
    fn fault(&self) -> Option<Cause> {
        match (self.outcome, self.refusal) {
            (Outcome::Answered, _) if self.status >= Some(MIN_FAILURE_STATUS) => {
                Some(Cause::Failed)
            }
            (Outcome::Answered, _) => None,
            (Outcome::Unknown, _) | (Outcome::NotRun, None) => Some(Cause::Unknown),
            (Outcome::NotRun, Some(reason)) => Some(Cause::NotRun(reason)),
        }
    }

    /// Returns whether the call failed because of its caller and is not counted.
    ///
    /// This holds if the caller cancelled the call, requested a path without a route, or sent an
    /// invalid or reused key.
    fn is_caller_fault(&self) -> bool {
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
    /// Covers the short and the long window.
    recent: SlidingWindow,
    /// Covers the objective's window.
    whole: SlidingWindow,
}

/// Counts good, bad and slow calls for each service that has an objective.
///
/// Other services are not counted, so memory is bounded by the declared objectives.
#[derive(Debug, Clone)]
pub struct BurnCounters {
    data_centre: DataCentre,
    started: Instant,
    services: BTreeMap<ServiceName, ServiceCounters>,
}

/// The counters of one service.
#[derive(Debug, Clone)]
struct ServiceCounters {
    objective: Objective,
    /// When counting started.
    since: Instant,
    classes: [Option<Windows>; Class::ALL.len()],
}

impl BurnCounters {
    /// Creates the counters of a daemon that starts at `now`.
    #[must_use]
    pub fn new(data_centre: DataCentre, now: Instant) -> Self {
        Self {
            data_centre,
            started: now,
            services: BTreeMap::new(),
        }
    }

    /// Applies the objectives of a configuration; counters whose objective changed are reset.
    pub fn set_config(&mut self, config: &Config, now: Instant) {
        self.services.retain(|name, counters| {
            config
                .objective(name)
                .is_some_and(|objective| *objective == counters.objective)
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
                .or_insert_with(|| ServiceCounters {
                    objective: objective.clone(),
                    since: now,
                    classes: [const { None }; Class::ALL.len()],
                });
        }
    }

    /// Counts one call.
    pub fn count(&mut self, service: &ServiceName, class: Class, end: &CallEnd, now: Instant) {
        let Some(counters) = self.services.get_mut(service) else {
            return;
        };
        if end.is_caller_fault() {
            return;
        }
        let window = counters.objective.window.duration();
        let windows = counters.classes[class.index()].get_or_insert_with(|| Windows {
            recent: SlidingWindow::new(LONG_WINDOW, now),
            whole: SlidingWindow::new(window, now),
        });
        let fault = end.fault();
        let is_fast = fault.is_none() && end.elapsed <= counters.objective.latency.duration();
        let cause = fault.or((!is_fast).then_some(Cause::Slow));
        for window in [&mut windows.recent, &mut windows.whole] {
            window.count(fault.is_none(), is_fast, cause, now);
        }
    }

    /// Returns the report of this daemon alone.
    pub fn report(&mut self, now: Instant) -> BurnReport {
        let age = now.saturating_duration_since(self.started);
        let data_centre = &self.data_centre;
        let services = self
            .services
            .iter_mut()
            .map(|(name, counters)| counters.report(name, data_centre, now))
            .collect();
        BurnReport {
            daemons: 1,
            missing: 0,
            youngest: interval(age),
            services,
        }
    }
}

impl ServiceCounters {
    fn report(
        &mut self,
        name: &ServiceName,
        data_centre: &DataCentre,
        now: Instant,
    ) -> ServiceBurn {
        let covered = now.saturating_duration_since(self.since);
        let mut burn = ServiceBurn::new(name.clone(), self.objective.clone());
        burn.covered = interval(covered.min(self.objective.window.duration()));
        for class in Class::ALL {
            let Some(windows) = &mut self.classes[class.index()] else {
                continue;
            };
            let whole = windows.whole.tally(self.objective.window.duration(), now);
            let tallies = WindowTallies {
                short: windows.recent.tally(SHORT_WINDOW, now),
                long: windows.recent.tally(LONG_WINDOW, now),
                whole,
            };
            burn.add(class, data_centre, tallies, &windows.whole.causes(now));
        }
        burn
    }
}

impl Tally {
    /// Adds the counts of `other`.
    pub fn add(&mut self, other: Self) {
        self.calls += other.calls;
        self.bad += other.bad;
        self.slow += other.slow;
    }
}

fn interval(time: Duration) -> Interval {
    Interval::from_millis(u64::try_from(time.as_millis()).unwrap_or(u64::MAX))
}
