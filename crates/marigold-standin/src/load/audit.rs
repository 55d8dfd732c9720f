//! What the backend servers' counts prove of what callers were told.

use marigold_types::Outcome;
use serde::{Deserialize, Serialize};

use super::{CallEnd, LedgerEntry};

/// Losses and doublings of one run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Audit {
    /// Calls compared.
    pub calls: u64,
    /// Calls whose answer came, but that no backend server ran.
    pub answered_unrun: u64,
    /// Calls that were said not to have run, but ran.
    pub false_not_run: u64,
    /// Calls that got another call's answer, or a part of theirs as the whole.
    pub wrong_answers: u64,
    /// Calls that have not ended.
    pub unfinished: u64,
    /// Calls that may not be repeated and ran more than once.
    pub doubled: u64,
    /// Further runs of calls that may be repeated.
    pub reruns: u64,
    /// Runs that the backend servers had no room to note; the audit is partial when not zero.
    pub overflow: u64,
}

impl Audit {
    /// Returns the calls whose work or answer is missing, or of which something false was said.
    #[must_use]
    pub fn lost(&self) -> u64 {
        self.answered_unrun + self.false_not_run + self.wrong_answers + self.unfinished
    }

    /// Returns whether nothing was lost or doubled and every run could be compared.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.lost() == 0 && self.doubled == 0 && self.overflow == 0
    }

    /// Adds a call that ran `runs` times.
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
        let more = runs.saturating_sub(1);
        if entry.once {
            self.doubled += u64::from(more > 0);
        } else {
            self.reruns += u64::from(more);
        }
    }
}
