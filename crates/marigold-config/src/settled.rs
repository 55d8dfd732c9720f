//! The verdicts that a repeat is answered with.

use std::collections::BTreeMap;

use marigold_types::{Digest, RecordTime};
use serde::{Deserialize, Serialize};

use crate::Verdict;

/// The most bytes that the verdicts take together, as JSON, so that a checkpoint fits into a record.
const MAX_BYTES: usize = 350_000;

/// A verdict that stands for every later copy.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettledVerdict {
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
    table: BTreeMap<Digest, SettledVerdict>,
    bytes: usize,
}

impl SettledTable {
    /// Builds the table from a checkpoint's list.
    pub fn new(list: &[SettledVerdict]) -> Self {
        let mut table = Self::default();
        for settled in list {
            table.add(settled.clone());
        }
        table
    }

    /// Lists the table for a checkpoint.
    pub fn to_list(&self) -> Vec<SettledVerdict> {
        self.table.values().cloned().collect()
    }

    /// Finds the verdict on `id`.
    pub fn find(&self, id: &Digest) -> Option<&Verdict> {
        self.table.get(id).map(|settled| &settled.verdict)
    }

    /// Returns whether no verdict fits any more; none is dropped before its time, since a copy
    /// could then count twice.
    pub fn is_full(&self) -> bool {
        self.bytes >= MAX_BYTES
    }

    /// Returns whether a refusal of one confirmation is remembered.
    ///
    /// Operators without rights must not be able to fill the table for those who have them. A
    /// refusal that is forgotten is judged again if a copy comes, within its few minutes of life.
    pub fn has_spare(&self) -> bool {
        self.bytes < MAX_BYTES / 2
    }

    /// Adds a verdict; the caller has asked whether the table is full.
    pub fn add(&mut self, settled: SettledVerdict) {
        self.bytes += size_of(&settled);
        self.table.insert(settled.id, settled);
    }

    /// Drops the verdicts whose copies no longer count at `time`.
    pub fn expire(&mut self, time: RecordTime) {
        let mut freed = 0;
        self.table.retain(|_, settled| {
            let keep = settled.until >= time;
            freed += if keep { 0 } else { size_of(settled) };
            keep
        });
        self.bytes -= freed;
    }
}

fn size_of(settled: &SettledVerdict) -> usize {
    serde_json::to_vec(settled).map_or(0, |json| json.len())
}
