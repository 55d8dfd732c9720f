//! The records of one stream.

use std::collections::VecDeque;

use marigold_log::{Batch, StoredRecord};
use marigold_types::{ByteSize, Interval, LogOffset, RecordTime};

/// The kept records of a stream, without gaps.
#[derive(Debug, Default)]
pub struct StreamRecords {
    earliest: LogOffset,
    records: VecDeque<StoredRecord>,
}

impl StreamRecords {
    /// Returns the first offset that is kept.
    pub fn earliest(&self) -> LogOffset {
        self.earliest
    }

    /// Returns the offset that the next append gets.
    pub fn end(&self) -> LogOffset {
        LogOffset(self.earliest.0 + self.records.len() as u64)
    }

    /// Appends a record; its time is never before the last one's.
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

    /// Copies at most `limit` records and `bytes` from `from` on; a first record always fits.
    pub fn read(&self, from: LogOffset, limit: usize, bytes: ByteSize) -> Batch {
        let skipped = usize::try_from(from.0.saturating_sub(self.earliest.0)).unwrap_or(usize::MAX);
        let mut left = bytes.0;
        let mut records = Vec::new();
        for record in self.records.iter().skip(skipped).take(limit) {
            let size = record.data.len() as u64;
            if size > left && !records.is_empty() {
                break;
            }
            left = left.saturating_sub(size);
            records.push(record.clone());
        }
        Batch {
            records,
            earliest: self.earliest,
            end: self.end(),
        }
    }

    /// Drops the records before `before`, but never beyond the end.
    pub fn trim(&mut self, before: LogOffset) {
        while self.earliest < before && self.records.pop_front().is_some() {
            self.earliest = self.earliest.next();
        }
    }

    /// Drops the records that are older than `retention` at `now`.
    pub fn expire(&mut self, now: RecordTime, retention: Interval) {
        let kept = now.since_epoch().saturating_sub(retention.duration());
        while self
            .records
            .front()
            .is_some_and(|record| record.time.since_epoch() < kept)
        {
            self.trim(self.earliest.next());
        }
    }
}
