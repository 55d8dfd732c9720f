//! The state of the log, with its faults.

use std::collections::BTreeMap;
use std::time::Duration;

use marigold_log::{Appended, Batch};
use marigold_types::{ByteSize, LogOffset, Rate, RecordTime};
use tokio::time::Instant;

use super::stream::StreamRecords;
use super::{LogControl, LogLimits, LogRefusal, LogTotals, TokenBucket};

const MAX_STREAM_BYTES: usize = 64;

/// Every stream of the log; it is told the time, so that tests can set it.
#[derive(Debug)]
pub struct LogStore {
    limits: LogLimits,
    streams: BTreeMap<String, StreamRecords>,
    bucket: TokenBucket,
    down: bool,
    slow: Duration,
    lose: u32,
    totals: LogTotals,
}

impl LogStore {
    /// Starts an empty log.
    #[must_use]
    pub fn new(limits: LogLimits, now: Instant) -> Self {
        Self {
            limits,
            streams: BTreeMap::new(),
            bucket: TokenBucket::new(limits.rate, now),
            down: false,
            slow: Duration::ZERO,
            lose: 0,
            totals: LogTotals::default(),
        }
    }

    /// Returns the limits.
    #[must_use]
    pub fn limits(&self) -> LogLimits {
        self.limits
    }

    /// Returns the counters.
    #[must_use]
    pub fn totals(&self) -> LogTotals {
        self.totals
    }

    /// Returns how long a request waits before it takes effect.
    #[must_use]
    pub fn delay(&self) -> Duration {
        self.slow
    }

    /// Makes or mends faults.
    ///
    /// # Errors
    ///
    /// When the order names a malformed stream; nothing of it is done then.
    pub fn control(&mut self, order: &LogControl, now: Instant) -> Result<(), LogRefusal> {
        if let Some(trim) = &order.trim {
            check_name(&trim.stream)?;
            if let Some(stream) = self.streams.get_mut(&trim.stream) {
                stream.trim(trim.before);
            }
        }
        self.down = order.down.unwrap_or(self.down);
        self.slow = order.slow_ms.map_or(self.slow, Duration::from_millis);
        self.lose = order.lose.unwrap_or(self.lose);
        if let Some(rate) = order.rate {
            self.limits.rate = Rate(rate);
            self.bucket.set_rate(Rate(rate), now);
        }
        Ok(())
    }

    /// Appends one record.
    ///
    /// # Errors
    ///
    /// When the record is refused; it is then certainly not written.
    pub fn append(
        &mut self,
        stream: &str,
        data: String,
        time: RecordTime,
        now: Instant,
    ) -> Result<Appended, LogRefusal> {
        self.check_up()?;
        check_name(stream)?;
        self.check_record(&data)?;
        if !self.streams.contains_key(stream) && self.streams.len() >= self.limits.streams {
            let allowed = self.limits.streams;
            return Err(LogRefusal::TooManyStreams { allowed });
        }
        if let Err(wait) = self.bucket.take(now) {
            self.totals.refused += 1;
            return Err(LogRefusal::TooMany { wait });
        }

        let records = self.streams.entry(stream.to_owned()).or_default();
        records.expire(time, self.limits.retention);
        self.totals.appends += 1;
        self.totals.bytes_in += data.len() as u64;
        let record = records.append(data, time);
        Ok(Appended {
            offset: record.offset,
            time: record.time,
        })
    }

    /// Reads records from `from` on; a stream that has none reads as empty.
    ///
    /// # Errors
    ///
    /// When the records are trimmed or the log is down.
    pub fn read(
        &mut self,
        stream: &str,
        from: LogOffset,
        limit: usize,
        time: RecordTime,
    ) -> Result<Batch, LogRefusal> {
        self.check_up()?;
        check_name(stream)?;
        let limits = self.limits;
        let Some(records) = self.streams.get_mut(stream) else {
            return Ok(Batch::default());
        };
        records.expire(time, limits.retention);
        if from < records.earliest() {
            let earliest = records.earliest();
            return Err(LogRefusal::Trimmed { earliest });
        }
        let batch = records.read(from, limit.min(limits.batch), limits.answer);
        let bytes: usize = batch.records.iter().map(|record| record.data.len()).sum();
        self.totals.reads += 1;
        self.totals.bytes_out += bytes as u64;
        Ok(batch)
    }

    /// Returns whether the answer to the append that was just made is to be lost.
    pub fn loses_answer(&mut self) -> bool {
        if self.lose == 0 {
            return false;
        }
        self.lose -= 1;
        self.totals.lost_answers += 1;
        true
    }

    fn check_up(&mut self) -> Result<(), LogRefusal> {
        if self.down {
            self.totals.refused += 1;
            return Err(LogRefusal::Down);
        }
        Ok(())
    }

    fn check_record(&self, data: &str) -> Result<(), LogRefusal> {
        let size = ByteSize(data.len() as u64);
        let allowed = self.limits.record;
        if size > allowed {
            return Err(LogRefusal::TooLarge { size, allowed });
        }
        if data.is_empty() || data.contains(['\n', '\r']) {
            return Err(LogRefusal::NotOneLine);
        }
        Ok(())
    }
}

fn check_name(name: &str) -> Result<(), LogRefusal> {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    if name.is_empty() || name.len() > MAX_STREAM_BYTES || !name.bytes().all(allowed) {
        let name = name.chars().take(MAX_STREAM_BYTES).collect();
        return Err(LogRefusal::BadStream { name });
    }
    Ok(())
}
