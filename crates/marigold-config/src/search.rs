//! Looks for the checkpoint that a reader starts from.

use marigold_log::{Batch, StoredRecord};
use marigold_types::LogOffset;

use crate::{Checkpoint, Record, Trust};

/// How many records before the end the search starts.
pub const FIRST_WINDOW: u64 = 256;
/// How much larger each further window is.
const WINDOW_GROWTH: u64 = 4;

/// A search for the last checkpoint before some offset, which goes back window by window, so that
/// a newcomer does not read a long log from its start.
#[derive(Debug, Clone)]
pub struct Search {
    top: LogOffset,
    low: LogOffset,
    at: LogOffset,
    high: LogOffset,
    best: Option<Checkpoint>,
    mark: Option<(LogOffset, LogOffset)>,
}

impl Search {
    /// Starts with the last records before `top`.
    pub fn new(top: LogOffset, earliest: LogOffset) -> Self {
        let low = LogOffset(top.0.saturating_sub(FIRST_WINDOW)).max(earliest);
        Self {
            top,
            low,
            at: low,
            high: top,
            best: None,
            mark: None,
        }
    }

    /// Returns where the search started from; what was appended since has not been read.
    pub fn top(&self) -> LogOffset {
        self.top
    }

    /// Returns the next offset to read.
    pub fn at(&self) -> LogOffset {
        self.at
    }

    /// Returns where the records of the last checkpoint seen go on, and where it stands.
    pub fn mark(&self) -> Option<(LogOffset, LogOffset)> {
        self.mark
    }

    /// Takes in the records of the window that follow on what was read.
    pub fn take(&mut self, batch: &Batch, trust: &Trust, earliest: LogOffset) {
        for record in &batch.records {
            if record.offset != self.at || self.is_done() {
                continue;
            }
            self.at = record.offset.next();
            if let Some(checkpoint) = open_checkpoint(record, trust) {
                self.mark = self.mark.max(Some((checkpoint.next, record.offset)));
                self.best = Some(better(self.best.take(), checkpoint, earliest));
            }
        }
    }

    /// Returns whether the whole window is read.
    pub fn is_done(&self) -> bool {
        self.at >= self.high
    }

    /// Returns the best checkpoint of the window.
    pub fn take_best(&mut self) -> Option<Checkpoint> {
        self.best.take()
    }

    /// Goes on with a larger window before this one; returns whether there is any.
    pub fn widen(&mut self, earliest: LogOffset) -> bool {
        if self.low <= earliest {
            return false;
        }
        let size = (self.top.0 - self.low.0).saturating_mul(WINDOW_GROWTH);
        self.high = self.low;
        self.low = LogOffset(self.top.0.saturating_sub(size)).max(earliest);
        self.at = self.low;
        true
    }
}

/// Returns the one of two checkpoints to start from: first one whose records are all there, then
/// the higher version, then the earlier.
fn better(best: Option<Checkpoint>, other: Checkpoint, earliest: LogOffset) -> Checkpoint {
    let rank = |checkpoint: &Checkpoint| (checkpoint.next >= earliest, checkpoint.version);
    match best {
        Some(best) if rank(&best) >= rank(&other) => best,
        _ => other,
    }
}

/// Returns the checkpoint of a record, if it is one that can be trusted.
pub fn open_checkpoint(record: &StoredRecord, trust: &Trust) -> Option<Checkpoint> {
    match Record::parse(&record.data) {
        Ok(Record::Checkpoint(sealed)) => sealed
            .open(trust)
            .filter(|checkpoint| checkpoint.next <= record.offset),
        _ => None,
    }
}
