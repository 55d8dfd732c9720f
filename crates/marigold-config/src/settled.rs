//! The verdicts that a repeat is answered with.

use std::collections::BTreeMap;

use marigold_types::{Digest, RecordTime};
use serde::{Deserialize, Serialize};

use crate::Verdict;

/// The most verdicts that are kept.
const MAX_SETTLED: usize = 4_096;

/// A verdict that stands for every later copy.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settled {
    /// The plan's id, or the confirmation's when only that one confirmation is settled.
    pub id: Digest,
    /// Until when a copy could still count.
    pub until: RecordTime,
    /// The verdict.
    pub verdict: Verdict,
}

/// Every verdict whose plan or confirmation could still be repeated.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SettledTable {
    table: BTreeMap<Digest, Settled>,
}

impl SettledTable {
    /// Builds the table from a checkpoint's list.
    pub fn new(list: &[Settled]) -> Self {
        let rows = list.iter().map(|settled| (settled.id, settled.clone()));
        Self {
            table: rows.collect(),
        }
    }

    /// Lists the table for a checkpoint.
    pub fn to_list(&self) -> Vec<Settled> {
        self.table.values().cloned().collect()
    }

    /// Finds the verdict on `id`.
    pub fn find(&self, id: &Digest) -> Option<&Verdict> {
        self.table.get(id).map(|settled| &settled.verdict)
    }

    /// Returns whether no verdict fits any more; none is dropped before its time, since a copy
    /// could then count twice.
    pub fn is_full(&self) -> bool {
        self.table.len() >= MAX_SETTLED
    }

    /// Adds a verdict, unless the table is full.
    pub fn insert(&mut self, settled: Settled) {
        if !self.is_full() {
            self.table.insert(settled.id, settled);
        }
    }

    /// Drops the verdicts whose copies no longer count at `time`.
    pub fn expire(&mut self, time: RecordTime) {
        self.table.retain(|_, settled| settled.until >= time);
    }
}
