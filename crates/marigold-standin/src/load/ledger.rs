//! Record of the end of every call.

use std::collections::BTreeMap;

use super::{Audit, CallEnd, CallResult};
use crate::backend::RunReport;

/// The record of one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LedgerEntry {
    /// Whether the call may run at most once.
    pub once: bool,
    /// How the call ended, or `None` while it is in flight.
    pub end: Option<CallEnd>,
}

/// The calls of one load run by number. The id of a call is the prefix of the run and the number.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    prefix: String,
    entries: BTreeMap<u64, LedgerEntry>,
}

impl Ledger {
    /// Creates an empty ledger for a run whose ids start with `prefix`.
    #[must_use]
    pub fn new(prefix: String) -> Self {
        Self {
            prefix,
            entries: BTreeMap::new(),
        }
    }

    /// Returns the prefix of the ids of this run.
    #[must_use]
    pub fn prefix(&self) -> &str {
        &self.prefix
    }

    /// Returns the id of the call with this number, which the `Load-Id` header carries.
    #[must_use]
    pub fn id(&self, number: u64) -> String {
        format!("{}{number}", self.prefix)
    }

    /// Records that a call was sent.
    pub fn record_sent(&mut self, number: u64, once: bool) {
        self.entries.insert(number, LedgerEntry { once, end: None });
    }

    /// Records how a call ended. Ignores calls that were not recorded as sent.
    pub fn record_refusal(&mut self, result: &CallResult) {
        if let Some(entry) = self.entries.get_mut(&result.number) {
            entry.end = Some(result.end);
        }
    }

    /// Compares the recorded ends with the run counts of the backend servers.
    #[must_use]
    pub fn audit(&self, reports: &[RunReport]) -> Audit {
        let mut audit = Audit::default();
        for (number, entry) in &self.entries {
            let id = self.id(*number);
            let runs = reports.iter().filter_map(|report| report.loads.get(&id));
            audit.add(*entry, runs.sum());
        }
        audit.overflow = reports.iter().map(|report| report.overflow).sum();
        audit
    }
}
