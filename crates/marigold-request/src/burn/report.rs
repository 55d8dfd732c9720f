//! The report on service-level burn, of one daemon or of many.

use std::collections::BTreeMap;

use marigold_config::Objective;
use marigold_types::{Class, DataCentre, Interval, ServiceName};
use serde::{Deserialize, Serialize};

use crate::burn::Cause;

/// A million, in which the shares of an objective are given.
const MILLION: f64 = 1_000_000.0;

/// Calls and how many of them were bad.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// All calls.
    pub calls: u64,
    /// Those that were not answered, or answered with a failure.
    pub bad: u64,
    /// Those that were not answered in time, the bad ones among them.
    pub slow: u64,
}

impl Tally {
    /// Returns how many times faster than allowed the budget for `share` in a million is used up, or
    /// none without calls.
    fn rate(bad: u64, calls: u64, share: u32) -> Option<f64> {
        if calls == 0 {
            return None;
        }
        let allowed = (MILLION - f64::from(share)).max(1.0) / MILLION;
        #[expect(clippy::cast_precision_loss, reason = "a ratio for display")]
        let failed = bad as f64 / calls as f64;
        Some(failed / allowed)
    }

    /// Returns the burn rate of availability: 1 uses the budget up exactly over the window.
    #[must_use]
    pub fn availability_rate(&self, objective: &Objective) -> Option<f64> {
        Self::rate(self.bad, self.calls, objective.availability)
    }

    /// Returns the burn rate of the time to answer.
    #[must_use]
    pub fn latency_rate(&self, objective: &Objective) -> Option<f64> {
        Self::rate(self.slow, self.calls, objective.fast)
    }
}

/// Counts over the three windows of a report.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowTallies {
    /// Over the last five minutes.
    pub short: Tally,
    /// Over the last hour.
    pub long: Tally,
    /// Over the objective's window.
    pub whole: Tally,
}

impl WindowTallies {
    /// Adds other counts to these.
    pub fn add(&mut self, other: Self) {
        self.short.add(other.short);
        self.long.add(other.long);
        self.whole.add(other.whole);
    }
}

/// How many calls were bad for one cause.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CauseCount {
    /// The cause.
    pub cause: Cause,
    /// The calls.
    pub calls: u64,
}

impl CauseCount {
    /// Adds `calls` for `cause` to a list.
    pub(crate) fn add(list: &mut Vec<Self>, cause: Cause, calls: u64) {
        match list.iter_mut().find(|count| count.cause == cause) {
            Some(count) => count.calls += calls,
            None => list.push(Self { cause, calls }),
        }
    }

    /// Adds all counts of `other` to a list.
    pub(crate) fn add_all(list: &mut Vec<Self>, other: &[Self]) {
        for count in other {
            Self::add(list, count.cause, count.calls);
        }
    }
}

/// The burn of one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceBurn {
    /// The service.
    pub service: ServiceName,
    /// What it owes.
    pub objective: Objective,
    /// How much of the objective's window was counted by the daemon that has counted least.
    pub covered: Interval,
    /// All counts.
    pub total: WindowTallies,
    /// The counts by class.
    pub classes: BTreeMap<Class, WindowTallies>,
    /// The counts by the data centre of the daemon that took the calls.
    pub centres: BTreeMap<DataCentre, WindowTallies>,
    /// Why calls were bad, over the objective's window.
    pub causes: Vec<CauseCount>,
}

impl ServiceBurn {
    /// Builds an empty count.
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
        spend: WindowTallies,
        causes: &[CauseCount],
    ) {
        self.total.add(spend);
        self.classes.entry(class).or_default().add(spend);
        self.centres.entry(centre.clone()).or_default().add(spend);
        CauseCount::add_all(&mut self.causes, causes);
    }

    /// Adds another daemon's counts of the same service.
    fn merge(&mut self, other: &Self) {
        self.covered = self.covered.min(other.covered);
        self.total.add(other.total);
        for (class, spend) in &other.classes {
            self.classes.entry(*class).or_default().add(*spend);
        }
        for (centre, spend) in &other.centres {
            self.centres.entry(centre.clone()).or_default().add(*spend);
        }
        CauseCount::add_all(&mut self.causes, &other.causes);
    }

    /// Returns whether no call was counted over the objective's window.
    #[must_use]
    pub fn has_no_traffic(&self) -> bool {
        self.total.whole.calls == 0
    }

    /// Returns whether less than the objective's window was counted.
    #[must_use]
    pub fn is_partial(&self) -> bool {
        self.covered < self.objective.window
    }

    /// Returns the part of the availability budget that is left, below 0 when it is overdrawn, or
    /// none without traffic.
    #[must_use]
    pub fn availability_left(&self) -> Option<f64> {
        let rate = self.total.whole.availability_rate(&self.objective)?;
        Some(1.0 - rate)
    }

    /// Returns the part of the budget for late answers that is left, as
    /// [`ServiceBurn::availability_left`] does.
    #[must_use]
    pub fn latency_left(&self) -> Option<f64> {
        let rate = self.total.whole.latency_rate(&self.objective)?;
        Some(1.0 - rate)
    }

    /// Returns the data centre with the highest burn rate over the last hour, where any is above 0.
    #[must_use]
    pub fn worst_centre(&self) -> Option<(&DataCentre, f64)> {
        let rate = |spend: &WindowTallies| {
            let availability = spend.long.availability_rate(&self.objective);
            let latency = spend.long.latency_rate(&self.objective);
            availability.unwrap_or(0.0).max(latency.unwrap_or(0.0))
        };
        self.centres
            .iter()
            .map(|(centre, spend)| (centre, rate(spend)))
            .filter(|(_, rate)| *rate > 0.0)
            .max_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// Returns the cause of most bad calls.
    #[must_use]
    pub fn main_cause(&self) -> Option<CauseCount> {
        self.causes.iter().copied().max_by_key(|count| count.calls)
    }
}

/// The burn of every service with an objective, as some daemons counted it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// The daemons whose counts are in it.
    pub daemons: u32,
    /// The daemons that are known and whose counts are not in it.
    pub missing: u32,
    /// How long ago the youngest of the daemons started.
    pub youngest: Interval,
    /// The services in the order of their names.
    pub services: Vec<ServiceBurn>,
}

impl BurnReport {
    /// Adds another daemon's report.
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

    /// Counts a daemon that gave no report.
    pub fn add_missing(&mut self) {
        self.missing += 1;
    }

    fn merge_service(&mut self, burn: &ServiceBurn) {
        let place = self
            .services
            .binary_search_by(|own| own.service.cmp(&burn.service));
        match place {
            // Counts against another objective do not add up; the newer daemons' report has both.
            Ok(place) if self.services[place].objective == burn.objective => {
                self.services[place].merge(burn);
            }
            Ok(place) => self.services.insert(place + 1, burn.clone()),
            Err(place) => self.services.insert(place, burn.clone()),
        }
    }
}
