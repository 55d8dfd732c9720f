//! An in-memory substitute for the platform's log.

use std::collections::BTreeMap;
use std::sync::Arc;

use marigold_log::{Batch, LogError, LogFailure, StoredRecord, StreamName};
use marigold_types::{LogOffset, RecordTime};

/// An in-memory log with simulated outages, lost append responses and trimming.
#[derive(Debug, Clone, Default)]
pub struct FakeLog {
    streams: BTreeMap<StreamName, Vec<StoredRecord>>,
    earliest: BTreeMap<StreamName, LogOffset>,
    /// Whether every operation fails as unavailable.
    pub down: bool,
    /// Whether appends are stored but reported as failed with an unknown outcome.
    pub loses_answers: bool,
    /// The number of reads, including failed ones.
    pub reads: u64,
    /// The number of appends, including failed ones.
    pub appends: u64,
}

impl FakeLog {
    /// Appends `data` with the timestamp `time`.
    ///
    /// # Errors
    ///
    /// Returns an error if the log is down or loses the response.
    pub fn append(
        &mut self,
        stream: StreamName,
        data: String,
        time: RecordTime,
    ) -> Result<LogOffset, LogError> {
        self.appends += 1;
        if self.down {
            return Err(unavailable_error("append"));
        }
        let records = self.streams.entry(stream).or_default();
        let offset = LogOffset(records.len() as u64);
        records.push(StoredRecord { offset, time, data });
        if self.loses_answers {
            let reason = Arc::from("the answer was lost");
            return Err(log_error("append", LogFailure::Unknown { reason }));
        }
        Ok(offset)
    }

    /// Reads at most `limit` records, starting at offset `from`.
    ///
    /// # Errors
    ///
    /// Returns an error if the log is down or the record at `from` has been trimmed.
    pub fn read(
        &mut self,
        stream: StreamName,
        from: LogOffset,
        limit: usize,
    ) -> Result<Batch, LogError> {
        self.reads += 1;
        if self.down {
            return Err(unavailable_error("read"));
        }
        let earliest = self.earliest.get(&stream).copied().unwrap_or_default();
        if from < earliest {
            return Err(log_error("read", LogFailure::Trimmed { earliest }));
        }
        let records = self.streams.entry(stream).or_default();
        let start = usize::try_from(from.0).unwrap_or(usize::MAX);
        Ok(Batch {
            records: records.iter().skip(start).take(limit).cloned().collect(),
            earliest,
            end: LogOffset(records.len() as u64),
        })
    }

    /// Trims the records of `stream` before `earliest`.
    pub fn trim(&mut self, stream: StreamName, earliest: LogOffset) {
        self.earliest.insert(stream, earliest);
    }

    /// Returns the offset of the next append to `stream`.
    #[must_use]
    pub fn end(&self, stream: StreamName) -> LogOffset {
        LogOffset(self.streams.get(&stream).map_or(0, Vec::len) as u64)
    }
}

/// Returns the error for an unreachable log.
pub fn unavailable_error(step: &'static str) -> LogError {
    let reason = Arc::from("the log is down");
    log_error(step, LogFailure::Unavailable { reason })
}

fn log_error(step: &'static str, failure: LogFailure) -> LogError {
    LogError {
        step,
        peer: Arc::from("fake log"),
        failure,
    }
}
