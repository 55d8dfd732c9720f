//! Comparison of the outcomes that callers saw with the runs that backend servers counted.

use marigold_types::Outcome;
use serde::{Deserialize, Serialize};

use super::{CallEnd, LedgerEntry};

/// The lost and duplicated calls of one load run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Audit {
    /// The number of calls compared.
    pub calls: u64,
    /// Calls that were answered, although no backend server ran them.
    pub answered_unrun: u64,
    /// Calls that were reported as not run, but ran.
    pub false_not_run: u64,
    /// Calls that got the answer of another call, or an incomplete answer marked as complete.
    pub wrong_answers: u64,
    /// Calls whose end was not recorded.
    pub unfinished: u64,
    /// At-most-once calls that ran more than once.
    pub doubled: u64,
    /// Runs of repeatable calls beyond the first of each.
    pub reruns: u64,
    /// Runs whose ids the backend servers could not store. The audit is incomplete unless this is zero.
    pub overflow: u64,
}

impl Audit {
    /// Returns the number of calls that were not run although answered, got a wrong answer or none, or were
    /// falsely reported as not run.
    #[must_use]
    pub fn lost(&self) -> u64 {
        self.answered_unrun + self.false_not_run + self.wrong_answers + self.unfinished
    }

    /// Returns whether no call was lost or duplicated and every run could be compared.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.lost() == 0 && self.doubled == 0 && self.overflow == 0
    }

    /// Adds a call that the backend servers ran `runs` times in total.
    pub fn add(&mut self, entry: LedgerEntry, runs: u32) {
        self.calls += 1;
        match entry.end {
            None => self.unfinished += 1,
            Some(CallEnd::Wrong) => self.wrong_answers += 1,
            Some(end) if end.outcome() == Outcome::Answered && runs == 0 => {
                self.answered_unrun += 1;
            }
            Some(end) if end.outcome() == Outcome::NotRun && runs > 0 => self.false_not_run += 1,
            Some(_) => {}
        }
        let extra_runs = runs.saturating_sub(1);
        if entry.once {
            self.doubled += u64::from(extra_runs > 0);
        } else {
            self.reruns += u64::from(extra_runs);
        }
    }
}
