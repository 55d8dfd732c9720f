//! Report of a load run.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Audit, Summary};

/// The results of the calls of one route.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteReport {
    /// The path of the route.
    pub path: String,
    /// Whether the calls may run at most once.
    pub once: bool,
    /// Calls that got their own complete answer.
    pub answered: u64,
    /// Answered calls with a status of 500 or above.
    pub failed: u64,
    /// Calls that certainly did not run.
    pub not_run: u64,
    /// Calls that may have run.
    pub unknown: u64,
    /// Calls that got another call's answer, or an incomplete one marked as complete.
    pub wrong: u64,
    /// Latencies of the answered calls, each from its due time.
    pub answered_time: Summary,
    /// Latencies of the calls that certainly did not run.
    pub refused_time: Summary,
}

/// The results of a load run.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The number of calls due per second.
    pub rate: u64,
    /// The time from the start of the run to the end of the last call, in seconds.
    pub seconds: f64,
    /// Calls that were sent and have ended.
    pub sent: u64,
    /// Calls that were due but not sent, because too many were in flight or no key could be fetched.
    pub unsent: u64,
    /// Calls whose daemon could not be connected to or closed the connection before the call was written.
    pub unreached: u64,
    /// Calls whose connection failed before the answer was complete.
    pub cut: u64,
    /// Calls that reached the timeout.
    pub timed_out: u64,
    /// The number of calls by the mesh's reason for not answering.
    pub reasons: BTreeMap<String, u64>,
    /// The delay of the load generator itself: the time between the due time of a call and its start.
    pub late: Summary,
    /// The results by route, in the order of the plan.
    pub routes: Vec<RouteReport>,
    /// The comparison with the run counts of the backend servers, or `None` if they were not fetched.
    pub audit: Option<Audit>,
}

impl LoadReport {
    /// Returns the number of calls that got their own complete answer.
    #[must_use]
    pub fn answered(&self) -> u64 {
        self.routes.iter().map(|route| route.answered).sum()
    }

    /// Returns the number of calls that certainly did not run.
    #[must_use]
    pub fn not_run(&self) -> u64 {
        self.routes.iter().map(|route| route.not_run).sum()
    }

    /// Returns the number of calls that may have run.
    #[must_use]
    pub fn unknown(&self) -> u64 {
        self.routes.iter().map(|route| route.unknown).sum()
    }
}
