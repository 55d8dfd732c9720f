//! The platform's log at its interface, in memory.

use std::collections::BTreeMap;
use std::sync::Arc;

use marigold_log::{Batch, LogError, LogFailure, StoredRecord, StreamName};
use marigold_types::{LogOffset, RecordTime};

/// A log that can be down, lose the answers to appends, and be trimmed.
#[derive(Debug, Clone, Default)]
pub struct FakeLog {
    streams: BTreeMap<StreamName, Vec<StoredRecord>>,
    earliest: BTreeMap<StreamName, LogOffset>,
    /// Whether it answers nothing.
    pub down: bool,
    /// Whether the answers to appends are lost after the write.
    pub loses_answers: bool,
    /// How often it was read.
    pub reads: u64,
    /// How often it was appended to.
    pub appends: u64,
}

impl FakeLog {
    /// Appends `data` at `time`.
    ///
    /// # Errors
    ///
    /// When it is down, or loses the answer.
    pub fn append(
        &mut self,
        stream: StreamName,
        data: String,
        time: RecordTime,
    ) -> Result<LogOffset, LogError> {
        self.appends += 1;
        if self.down {
            return Err(unavailable("append"));
        }
        let records = self.streams.entry(stream).or_default();
        let offset = LogOffset(records.len() as u64);
        records.push(StoredRecord { offset, time, data });
        if self.loses_answers {
            let reason = Arc::from("the answer was lost");
            return Err(failed("append", LogFailure::Unknown { reason }));
        }
        Ok(offset)
    }

    /// Reads at most `limit` records from `from` on.
    ///
    /// # Errors
    ///
    /// When it is down, or the records are trimmed.
    pub fn read(
        &mut self,
        stream: StreamName,
        from: LogOffset,
        limit: usize,
    ) -> Result<Batch, LogError> {
        self.reads += 1;
        if self.down {
            return Err(unavailable("read"));
        }
        let earliest = self.earliest.get(&stream).copied().unwrap_or_default();
        if from < earliest {
            return Err(failed("read", LogFailure::Trimmed { earliest }));
        }
        let records = self.streams.entry(stream).or_default();
        let start = usize::try_from(from.0).unwrap_or(usize::MAX);
        Ok(Batch {
            records: records.iter().skip(start).take(limit).cloned().collect(),
            earliest,
            end: LogOffset(records.len() as u64),
        })
    }

    /// Drops the records of `stream` before `earliest`.
    pub fn trim(&mut self, stream: StreamName, earliest: LogOffset) {
        self.earliest.insert(stream, earliest);
    }

    /// Returns the offset that the next append to `stream` gets.
    #[must_use]
    pub fn end(&self, stream: StreamName) -> LogOffset {
        LogOffset(self.streams.get(&stream).map_or(0, Vec::len) as u64)
    }
}

/// Returns the error of a log that cannot be reached.
pub fn unavailable(step: &'static str) -> LogError {
    let reason = Arc::from("the log is down");
    failed(step, LogFailure::Unavailable { reason })
}

fn failed(step: &'static str, failure: LogFailure) -> LogError {
    LogError {
        step,
        peer: Arc::from("fake log"),
        failure,
    }
}
