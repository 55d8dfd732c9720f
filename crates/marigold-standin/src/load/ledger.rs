//! What was said of every call.

use std::collections::BTreeMap;

use super::{Audit, CallEnd, CallResult};
use crate::backend::RunReport;

/// One call in the ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LedgerEntry {
    /// Whether it may run at most once.
    pub once: bool,
    /// How it ended; nothing while it has not.
    pub end: Option<CallEnd>,
}

/// The calls of one run by their numbers; their ids start with the run's prefix.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    prefix: String,
    entries: BTreeMap<u64, LedgerEntry>,
}

impl Ledger {
    /// Starts an empty ledger.
    #[must_use]
    pub fn new(prefix: String) -> Self {
        Self {
            prefix,
            entries: BTreeMap::new(),
        }
    }

    /// Returns what every id of the run starts with.
    #[must_use]
    pub fn prefix(&self) -> &str {
        &self.prefix
    }

    /// Returns the id of a call.
    #[must_use]
    pub fn id(&self, number: u64) -> String {
        format!("{}{number}", self.prefix)
    }

    /// Notes that a call was sent.
    pub fn send(&mut self, number: u64, once: bool) {
        self.entries.insert(number, LedgerEntry { once, end: None });
    }

    /// Notes how a call ended.
    pub fn end(&mut self, result: &CallResult) {
        if let Some(entry) = self.entries.get_mut(&result.number) {
            entry.end = Some(result.end);
        }
    }

    /// Compares what was said with what the backend servers counted.
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
