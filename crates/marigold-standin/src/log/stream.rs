//! The records of one stream.

use std::collections::VecDeque;

use marigold_log::{Batch, StoredRecord};
use marigold_types::{ByteSize, Interval, LogOffset, RecordTime};

/// The records of a stream that have not been trimmed, at consecutive offsets.
#[derive(Debug, Default)]
pub struct StreamRecords {
    earliest: LogOffset,
    records: VecDeque<StoredRecord>,
}

impl StreamRecords {
    /// Returns the offset of the first record held, or of the next append if there is none.
    pub fn earliest(&self) -> LogOffset {
        self.earliest
    }

    /// Returns the offset of the next append.
    pub fn end(&self) -> LogOffset {
        LogOffset(self.earliest.0 + self.records.len() as u64)
    }

    /// Appends a record. If `time` is before the time of the last record, the record gets the latter.
    pub fn append(&mut self, data: String, time: RecordTime) -> StoredRecord {
        let last = self.records.back().map_or(time, |record| record.time);
        let record = StoredRecord {
            offset: self.end(),
            time: time.max(last),
            data,
        };
        self.records.push_back(record.clone());
        record
    }

    /// Copies at most `limit` records and `max_bytes` starting at `from`. The first record is included even
    /// if it is larger.
    pub fn read(&self, from: LogOffset, limit: usize, max_bytes: ByteSize) -> Batch {
        let skipped = usize::try_from(from.0.saturating_sub(self.earliest.0)).unwrap_or(usize::MAX);
        let mut remaining = max_bytes.0;
        let mut records = Vec::new();
        for record in self.records.iter().skip(skipped).take(limit) {
            let size = record.data.len() as u64;
            if size > remaining && !records.is_empty() {
                break;
            }
            remaining = remaining.saturating_sub(size);
            records.push(record.clone());
        }
        Batch {
            records,
            earliest: self.earliest,
            end: self.end(),
        }
    }

    /// Drops the records before `before`, which may lie past the end.
    pub fn trim(&mut self, before: LogOffset) {
        while self.earliest < before && self.records.pop_front().is_some() {
            self.earliest = self.earliest.next();
        }
    }

    /// Drops the records whose age at `now` is above `retention`.
    pub fn expire(&mut self, now: RecordTime, retention: Interval) {
        let oldest_kept = now.since_epoch().saturating_sub(retention.duration());
        while self
            .records
            .front()
            .is_some_and(|record| record.time.since_epoch() < oldest_kept)
        {
            self.trim(self.earliest.next());
        }
    }
}
