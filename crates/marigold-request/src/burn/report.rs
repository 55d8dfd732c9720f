//! The error budget report of one daemon or several.

use std::collections::BTreeMap;

use marigold_config::Objective;
use marigold_types::{Class, DataCentre, Interval, ServiceName};
use serde::{Deserialize, Serialize};

use crate::burn::Cause;

/// The unit of the shares in an objective.
const PARTS_PER_MILLION: f64 = 1_000_000.0;

/// Call counts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// All calls.
    pub calls: u64,
    /// Calls that were not answered, or were answered with a failure.
    pub bad: u64,
    /// Calls that were not answered in time; includes all bad calls.
    pub slow: u64,
}

impl Tally {
    /// Returns the ratio of bad calls divided by the ratio that an objective of `share_ppm` good
    /// calls per million allows, or `None` without calls.
    fn rate(bad: u64, calls: u64, share_ppm: u32) -> Option<f64> {
        if calls == 0 {
            return None;
        }
        let allowed = (PARTS_PER_MILLION - f64::from(share_ppm)).max(1.0) / PARTS_PER_MILLION;
        #[expect(clippy::cast_precision_loss, reason = "a ratio for display")]
        let failed = bad as f64 / calls as f64;
        Some(failed / allowed)
    }

    /// Returns the burn rate of the availability budget, or `None` without calls.
    ///
    /// At a rate of 1, the budget lasts exactly for the objective's window.
    #[must_use]
    pub fn availability_rate(&self, objective: &Objective) -> Option<f64> {
        Self::rate(self.bad, self.calls, objective.availability)
    }

    /// Returns the burn rate of the latency budget, or `None` without calls.
    #[must_use]
    pub fn latency_rate(&self, objective: &Objective) -> Option<f64> {
        Self::rate(self.slow, self.calls, objective.fast)
    }
}

/// Call counts over the three windows of a report.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowTallies {
    /// Calls in the last five minutes.
    pub short: Tally,
    /// Calls in the last hour.
    pub long: Tally,
    /// Calls in the objective's window.
    pub whole: Tally,
}

impl WindowTallies {
    /// Adds the counts of `other`.
    pub fn add(&mut self, other: Self) {
        self.short.add(other.short);
        self.long.add(other.long);
        self.whole.add(other.whole);
    }
}

/// The number of bad or slow calls with one cause.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CauseCount {
    /// Why the calls were bad or slow.
    pub cause: Cause,
    /// The number of calls.
    pub calls: u64,
}

impl CauseCount {
    /// Adds `calls` with `cause` to `list`.
    pub(crate) fn add(list: &mut Vec<Self>, cause: Cause, calls: u64) {
        match list.iter_mut().find(|count| count.cause == cause) {
            Some(count) => count.calls += calls,
            None => list.push(Self { cause, calls }),
        }
    }

    /// Adds all counts of `other` to `list`.
    pub(crate) fn add_all(list: &mut Vec<Self>, other: &[Self]) {
        for count in other {
            Self::add(list, count.cause, count.calls);
        }
    }
}

/// The error budget report of one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceBurn {
    /// The service name.
    pub service: ServiceName,
    /// The declared objective.
    pub objective: Objective,
    /// The part of the objective's window that the counts cover; the shortest one of all daemons.
    pub covered: Interval,
    /// The counts of all calls.
    pub total: WindowTallies,
    /// The counts per class.
    pub classes: BTreeMap<Class, WindowTallies>,
    /// The counts per data centre of the ingress daemon.
    pub centres: BTreeMap<DataCentre, WindowTallies>,
    /// The causes of bad and slow calls in the objective's window.
    pub causes: Vec<CauseCount>,
}

impl ServiceBurn {
    /// Creates a report without calls.
    #[must_use]
    pub fn new(service: ServiceName, objective: Objective) -> Self {
        Self {
            service,
            covered: objective.window,
            objective,
            total: WindowTallies::default(),
            classes: BTreeMap::new(),
            centres: BTreeMap::new(),
            causes: Vec::new(),
        }
    }

    /// Adds the counts of one class in one data centre.
    pub(crate) fn add(
        &mut self,
        class: Class,
        centre: &DataCentre,
        tallies: WindowTallies,
        causes: &[CauseCount],
    ) {
        self.total.add(tallies);
        self.classes.entry(class).or_default().add(tallies);
        self.centres.entry(centre.clone()).or_default().add(tallies);
        CauseCount::add_all(&mut self.causes, causes);
    }

    /// Adds another daemon's counts for the same service and objective.
    fn merge(&mut self, other: &Self) {
        self.covered = self.covered.min(other.covered);
        self.total.add(other.total);
        for (class, tallies) in &other.classes {
            self.classes.entry(*class).or_default().add(*tallies);
        }
        for (centre, tallies) in &other.centres {
            self.centres
                .entry(centre.clone())
                .or_default()
                .add(*tallies);
        }
        CauseCount::add_all(&mut self.causes, &other.causes);
    }

    /// Returns whether there were no calls in the objective's window.
    #[must_use]
    pub fn has_no_traffic(&self) -> bool {
        self.total.whole.calls == 0
    }

    /// Returns whether the counts cover less than the objective's window.
    #[must_use]
    pub fn is_partial(&self) -> bool {
        self.covered < self.objective.window
    }

    /// Returns the remaining fraction of the availability budget, or `None` without traffic.
    ///
    /// The fraction is 1 for an unused budget and below 0 for an overspent one.
    #[must_use]
    pub fn availability_left(&self) -> Option<f64> {
        let rate = self.total.whole.availability_rate(&self.objective)?;
        Some(1.0 - rate)
    }

    /// Returns the remaining fraction of the latency budget, in the manner of
    /// [`ServiceBurn::availability_left`].
    #[must_use]
    pub fn latency_left(&self) -> Option<f64> {
        let rate = self.total.whole.latency_rate(&self.objective)?;
        Some(1.0 - rate)
    }

    /// Returns the data centre with the highest burn rate over the last hour, with that rate; `None`
    /// if no rate is above 0.
    #[must_use]
    pub fn worst_centre(&self) -> Option<(&DataCentre, f64)> {
        let rate = |tallies: &WindowTallies| {
            let availability = tallies.long.availability_rate(&self.objective);
            let latency = tallies.long.latency_rate(&self.objective);
            availability.unwrap_or(0.0).max(latency.unwrap_or(0.0))
        };
        self.centres
            .iter()
            .map(|(centre, tallies)| (centre, rate(tallies)))
            .filter(|(_, rate)| *rate > 0.0)
            .max_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// Returns the most frequent cause, with its number of calls.
    #[must_use]
    pub fn main_cause(&self) -> Option<CauseCount> {
        self.causes.iter().copied().max_by_key(|count| count.calls)
    }
}

/// The error budgets of all services with an objective, as counted by some daemons.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// The number of daemons whose counts are included.
    pub daemons: u32,
    /// The number of known daemons whose counts are not included.
    pub missing: u32,
    /// The time since the most recent start of an included daemon.
    pub youngest: Interval,
    /// The services, sorted by name.
    pub services: Vec<ServiceBurn>,
}

impl BurnReport {
    /// Adds another report, for example of another daemon.
    pub fn merge(&mut self, other: &Self) {
        self.youngest = match (self.daemons, other.daemons) {
            (0, _) => other.youngest,
            (_, 0) => self.youngest,
            _ => self.youngest.min(other.youngest),
        };
        self.daemons += other.daemons;
        self.missing += other.missing;
        for burn in &other.services {
            self.merge_service(burn);
        }
    }

    /// Counts a daemon that sent no report.
    pub fn add_missing(&mut self) {
        self.missing += 1;
    }

    fn merge_service(&mut self, burn: &ServiceBurn) {
        let index = self
            .services
            .binary_search_by(|own| own.service.cmp(&burn.service));
        match index {
            // Counts for different objectives cannot be added; the report has an entry for each.
            Ok(index) if self.services[index].objective == burn.objective => {
                self.services[index].merge(burn);
            }
            Ok(index) => self.services.insert(index + 1, burn.clone()),
            Err(index) => self.services.insert(index, burn.clone()),
        }
    }
}
