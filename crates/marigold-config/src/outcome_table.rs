//! Final outcomes, which apply to repeated plans and confirmations.

use std::collections::BTreeMap;

use marigold_types::{Digest, RecordTime};
use serde::{Deserialize, Serialize};

use crate::ConfirmOutcome;

/// The limit on the total size of the outcomes, in bytes of JSON, so that a checkpoint fits into a
/// record.
const MAX_TOTAL_BYTES: usize = 350_000;

/// An outcome that applies to every repetition of its plan or confirmation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredOutcome {
    /// The id of the plan, or of the confirmation if the outcome applies to that alone.
    pub id: Digest,
    /// The last time at which a repetition could still take effect.
    pub until: RecordTime,
    /// The outcome that a repetition gets.
    #[serde(rename = "verdict")]
    pub outcome: ConfirmOutcome,
}

/// All outcomes of plans and confirmations that could still be repeated.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OutcomeTable {
    table: BTreeMap<Digest, StoredOutcome>,
    bytes: usize,
}

impl OutcomeTable {
    /// Builds the table from the outcomes of a checkpoint.
    pub fn new(list: &[StoredOutcome]) -> Self {
        let mut table = Self::default();
        for settled in list {
            table.add(settled.clone());
        }
        table
    }

    /// Returns the outcomes for a checkpoint, ordered by id.
    pub fn to_list(&self) -> Vec<StoredOutcome> {
        self.table.values().cloned().collect()
    }

    /// Finds the outcome of a plan or confirmation by its id.
    pub fn find(&self, id: &Digest) -> Option<&ConfirmOutcome> {
        self.table.get(id).map(|settled| &settled.outcome)
    }

    /// Returns whether the table is full.
    ///
    /// No outcome is evicted before it expires, since a repeated plan could then take effect twice.
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

    /// Adds an outcome; the caller checks that the table is not full.
    pub fn add(&mut self, settled: StoredOutcome) {
        self.bytes += size_of(&settled);
        self.table.insert(settled.id, settled);
    }

    /// Removes the outcomes that have expired at `time`.
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

fn size_of(settled: &StoredOutcome) -> usize {
    serde_json::to_vec(settled).map_or(0, |json| json.len())
}
