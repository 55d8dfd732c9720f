//! Counts of the runs of one kind.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::GivenUpRuns;
use crate::CallKind;

/// Counts of the runs of one kind on a backend server, since it started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KindCounts {
    /// The kind.
    pub kind: CallKind,
    /// Runs that have ended, with a response or a failure.
    pub ended: u32,
    /// Those of them that failed.
    pub failed: u32,
    /// Those of them whose run time counts. Runs on a server that has just started do not.
    pub timed: u32,
    /// The sum of their run times.
    pub run_time: Duration,
    /// How long each of the current runs has taken, except on a server that has just started.
    pub open: Vec<Duration>,
    /// Runs that ended without a response or a failure, except on a server that has just started.
    pub given_up: GivenUpRuns,
}

impl KindCounts {
    /// Returns the counts of a kind that has not run.
    #[must_use]
    pub fn new(kind: CallKind) -> Self {
        Self {
            kind,
            ended: 0,
            failed: 0,
            timed: 0,
            run_time: Duration::ZERO,
            open: Vec::new(),
            given_up: GivenUpRuns::default(),
        }
    }
}
