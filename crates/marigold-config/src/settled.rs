//! Final verdicts, which apply to repeated plans and confirmations.

use std::collections::BTreeMap;

use marigold_types::{Digest, RecordTime};
use serde::{Deserialize, Serialize};

use crate::Verdict;

/// The limit on the total size of the verdicts, in bytes of JSON, so that a checkpoint fits into a
/// record.
const MAX_TOTAL_BYTES: usize = 350_000;

/// A verdict that applies to every repetition of its plan or confirmation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettledVerdict {
    /// The id of the plan, or of the confirmation if the verdict applies to that alone.
    pub id: Digest,
    /// The last time at which a repetition could still take effect.
    pub until: RecordTime,
    /// The result that a repetition gets.
    pub verdict: Verdict,
}

/// All verdicts on plans and confirmations that could still be repeated.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VerdictTable {
    table: BTreeMap<Digest, SettledVerdict>,
    bytes: usize,
}

impl VerdictTable {
    /// Builds the table from the verdicts of a checkpoint.
    pub fn new(list: &[SettledVerdict]) -> Self {
        let mut table = Self::default();
        for settled in list {
            table.add(settled.clone());
        }
        table
    }

    /// Returns the verdicts for a checkpoint, ordered by id.
    pub fn to_list(&self) -> Vec<SettledVerdict> {
        self.table.values().cloned().collect()
    }

    /// Finds the verdict on a plan or confirmation by its id.
    pub fn find(&self, id: &Digest) -> Option<&Verdict> {
        self.table.get(id).map(|settled| &settled.verdict)
    }

    /// Returns whether the table is full.
    ///
    /// No verdict is evicted before it expires, since a repeated plan could then take effect twice.
    pub fn is_full(&self) -> bool {
        self.bytes >= MAX_TOTAL_BYTES
    }

    /// Returns whether the rejection of a single confirmation may be stored.
    ///
    /// Such rejections can use only half of the table, so that operators without permissions cannot
    /// block those who have them. A confirmation whose rejection was not stored is validated again
    /// if it is repeated before it expires, which is within a few minutes.
    pub fn has_room_for_rejections(&self) -> bool {
        self.bytes < MAX_TOTAL_BYTES / 2
    }

    /// Adds a verdict; the caller checks that the table is not full.
    pub fn add(&mut self, settled: SettledVerdict) {
        self.bytes += size_of(&settled);
        self.table.insert(settled.id, settled);
    }

    /// Removes the verdicts that have expired at `time`.
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
