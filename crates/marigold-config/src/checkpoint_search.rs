//! Search for the checkpoint from which a reader starts.

use marigold_log::{Batch, StoredRecord};
use marigold_types::LogOffset;

use crate::{Checkpoint, Record, Trust};

/// The number of records in the first window, which ends at the end of the log.
pub const FIRST_WINDOW_RECORDS: u64 = 256;
/// The factor by which the searched range grows with each further window.
const WINDOW_GROWTH_FACTOR: u64 = 4;

/// A search for the last checkpoint before an offset.
///
/// It searches backwards in growing windows, so that a new daemon does not have to read a long log
/// from the start.
#[derive(Debug, Clone)]
pub struct CheckpointSearch {
    end: LogOffset,
    window_start: LogOffset,
    next: LogOffset,
    window_end: LogOffset,
    best: Option<Checkpoint>,
    last_checkpoint: Option<(LogOffset, LogOffset)>,
}

impl CheckpointSearch {
    /// Starts with the last window before `end`; no record before `earliest` is read.
    pub fn new(end: LogOffset, earliest: LogOffset) -> Self {
        let window_start = LogOffset(end.0.saturating_sub(FIRST_WINDOW_RECORDS)).max(earliest);
        Self {
            end,
            window_start,
            next: window_start,
            window_end: end,
            best: None,
            last_checkpoint: None,
        }
    }

    /// Returns the end of the searched range; records appended later have not been read.
    pub fn end(&self) -> LogOffset {
        self.end
    }

    /// Returns the offset of the next record to read.
    pub fn next(&self) -> LogOffset {
        self.next
    }

    /// Returns the first record that the last checkpoint seen does not include, and the
    /// checkpoint's own offset.
    pub fn last_checkpoint(&self) -> Option<(LogOffset, LogOffset)> {
        self.last_checkpoint
    }

    /// Examines the records of the window that directly follow those already read.
    pub fn apply_batch(&mut self, batch: &Batch, trust: &Trust, earliest: LogOffset) {
        for record in &batch.records {
            if record.offset != self.next || self.is_done() {
                continue;
            }
            self.next = record.offset.next();
            if let Some(checkpoint) = open_checkpoint(record, trust) {
                self.last_checkpoint = self
                    .last_checkpoint
                    .max(Some((checkpoint.next, record.offset)));
                self.best = Some(preferred(self.best.take(), checkpoint, earliest));
            }
        }
    }

    /// Returns whether the whole window has been read.
    pub fn is_done(&self) -> bool {
        self.next >= self.window_end
    }

    /// Takes the preferred checkpoint of the window, if it has any.
    pub fn take_best(&mut self) -> Option<Checkpoint> {
        self.best.take()
    }

    /// Continues with the records before this window; returns `false` if there are none.
    pub fn extend_back(&mut self, earliest: LogOffset) -> bool {
        if self.window_start <= earliest {
            return false;
        }
        let size = (self.end.0 - self.window_start.0).saturating_mul(WINDOW_GROWTH_FACTOR);
        self.window_end = self.window_start;
        self.window_start = LogOffset(self.end.0.saturating_sub(size)).max(earliest);
        self.next = self.window_start;
        true
    }
}

/// Returns the checkpoint to start from.
///
/// One whose following records are all in the log is preferred, then the higher version, then the
/// earlier checkpoint.
fn preferred(best: Option<Checkpoint>, other: Checkpoint, earliest: LogOffset) -> Checkpoint {
    let rank = |checkpoint: &Checkpoint| (checkpoint.next >= earliest, checkpoint.version);
    match best {
        Some(best) if rank(&best) >= rank(&other) => best,
        _ => other,
    }
}

/// Returns the checkpoint in a record, if it is authentic and includes only records before its own
/// offset.
pub fn open_checkpoint(record: &StoredRecord, trust: &Trust) -> Option<Checkpoint> {
    match Record::parse(&record.data) {
        Ok(Record::Checkpoint(sealed)) => sealed
            .open(trust)
            .filter(|checkpoint| checkpoint.next <= record.offset),
        _ => None,
    }
}
