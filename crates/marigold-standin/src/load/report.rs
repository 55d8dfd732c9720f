//! The result of a load run.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Audit, Summary};

/// The calls of one route.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteReport {
    /// The path.
    pub path: String,
    /// Whether its calls may run at most once.
    pub once: bool,
    /// Calls that got their own whole answer.
    pub answered: u64,
    /// Of these, the ones with a status of 500 or more.
    pub failed: u64,
    /// Calls that certainly did not run.
    pub not_run: u64,
    /// Calls that may have run.
    pub unknown: u64,
    /// Calls that got a wrong answer.
    pub wrong: u64,
    /// Times of the answered calls, from when each was due.
    pub answered_time: Summary,
    /// Times of the calls that certainly did not run.
    pub refused_time: Summary,
}

/// A whole load run.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Calls that were due each second.
    pub rate: u64,
    /// Seconds from the first call to the end of the last.
    pub seconds: f64,
    /// Calls that were sent.
    pub sent: u64,
    /// Calls that were due but not sent, since too many were in flight or no key could be had.
    pub unsent: u64,
    /// Daemons that could not be connected to, by call.
    pub unreached: u64,
    /// Connections that broke before the whole answer was there.
    pub cut: u64,
    /// Calls that their caller gave up.
    pub timed_out: u64,
    /// The mesh's reasons for not answering, with how often each was given.
    pub reasons: BTreeMap<String, u64>,
    /// How late the generator itself sent its calls.
    pub late: Summary,
    /// Every route.
    pub routes: Vec<RouteReport>,
    /// What the backend servers' counts prove; absent when they were not asked.
    pub audit: Option<Audit>,
}

impl LoadReport {
    /// Returns the calls that got their own whole answer.
    #[must_use]
    pub fn answered(&self) -> u64 {
        self.routes.iter().map(|route| route.answered).sum()
    }

    /// Returns the calls that certainly did not run.
    #[must_use]
    pub fn not_run(&self) -> u64 {
        self.routes.iter().map(|route| route.not_run).sum()
    }

    /// Returns the calls that may have run.
    #[must_use]
    pub fn unknown(&self) -> u64 {
        self.routes.iter().map(|route| route.unknown).sum()
    }
}
