//! The contents of the log and its injected faults.

use std::collections::BTreeMap;
use std::time::Duration;

use marigold_log::{Appended, Batch};
use marigold_types::{ByteSize, LogOffset, Rate, RecordTime};
use tokio::time::Instant;

use super::stream::StreamRecords;
use super::{LogControl, LogLimits, LogRefusal, LogTotals, TokenBucket};

const MAX_STREAM_NAME_BYTES: usize = 64;

/// The streams of the log. Callers pass in the current time, so that tests can control it.
#[derive(Debug)]
pub struct LogStore {
    limits: LogLimits,
    streams: BTreeMap<String, StreamRecords>,
    bucket: TokenBucket,
    down: bool,
    delay: Duration,
    answers_to_lose: u32,
    totals: LogTotals,
}

impl LogStore {
    /// Creates an empty log whose rate limit starts at `now`.
    #[must_use]
    pub fn new(limits: LogLimits, now: Instant) -> Self {
        Self {
            limits,
            streams: BTreeMap::new(),
            bucket: TokenBucket::new(limits.rate, now),
            down: false,
            delay: Duration::ZERO,
            answers_to_lose: 0,
            totals: LogTotals::default(),
        }
    }

    /// Returns the limits in force.
    #[must_use]
    pub fn limits(&self) -> LogLimits {
        self.limits
    }

    /// Returns the counters since the log was created.
    #[must_use]
    pub fn totals(&self) -> LogTotals {
        self.totals
    }

    /// Returns the injected delay before a request takes effect.
    #[must_use]
    pub fn delay(&self) -> Duration {
        self.delay
    }

    /// Injects or clears faults.
    ///
    /// # Errors
    ///
    /// If the order contains an invalid stream name. None of the order is applied then.
    pub fn control(&mut self, order: &LogControl, now: Instant) -> Result<(), LogRefusal> {
        if let Some(trim) = &order.trim {
            check_stream_name(&trim.stream)?;
            if let Some(stream) = self.streams.get_mut(&trim.stream) {
                stream.trim(trim.before);
            }
        }
        self.down = order.down.unwrap_or(self.down);
        self.delay = order.slow_ms.map_or(self.delay, Duration::from_millis);
        self.answers_to_lose = order.lose.unwrap_or(self.answers_to_lose);
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
    /// If the log refuses the record. It is then never written.
    pub fn append(
        &mut self,
        stream: &str,
        data: String,
        time: RecordTime,
        now: Instant,
    ) -> Result<Appended, LogRefusal> {
        self.check_available()?;
        check_stream_name(stream)?;
        self.check_record(&data)?;
        if !self.streams.contains_key(stream) && self.streams.len() >= self.limits.max_streams {
            let allowed = self.limits.max_streams;
            return Err(LogRefusal::TooManyStreams { allowed });
        }
        if let Err(wait) = self.bucket.take(now) {
            self.totals.refused += 1;
            return Err(LogRefusal::RateLimited { wait });
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

    /// Reads up to `limit` records starting at `from`. A stream that does not exist is read as empty.
    ///
    /// # Errors
    ///
    /// If the stream name is invalid, the record at `from` has been trimmed, or the log is down.
    pub fn read(
        &mut self,
        stream: &str,
        from: LogOffset,
        limit: usize,
        time: RecordTime,
    ) -> Result<Batch, LogRefusal> {
        self.check_available()?;
        check_stream_name(stream)?;
        let limits = self.limits;
        let Some(records) = self.streams.get_mut(stream) else {
            return Ok(Batch::default());
        };
        records.expire(time, limits.retention);
        if from < records.earliest() {
            let earliest = records.earliest();
            return Err(LogRefusal::Trimmed { earliest });
        }
        let batch = records.read(
            from,
            limit.min(limits.max_read_records),
            limits.max_read_bytes,
        );
        let bytes: usize = batch.records.iter().map(|record| record.data.len()).sum();
        self.totals.reads += 1;
        self.totals.bytes_out += bytes as u64;
        Ok(batch)
    }

    /// Returns whether the answer to the preceding append must be lost, and counts it as lost if so.
    pub fn take_lost_answer(&mut self) -> bool {
        if self.answers_to_lose == 0 {
            return false;
        }
        self.answers_to_lose -= 1;
        self.totals.lost_answers += 1;
        true
    }

    fn check_available(&mut self) -> Result<(), LogRefusal> {
        if self.down {
            self.totals.refused += 1;
            return Err(LogRefusal::Down);
        }
        Ok(())
    }

    fn check_record(&self, data: &str) -> Result<(), LogRefusal> {
        let size = ByteSize(data.len() as u64);
        let allowed = self.limits.max_record;
        if size > allowed {
            return Err(LogRefusal::TooLarge { size, allowed });
        }
        if data.is_empty() || data.contains(['\n', '\r']) {
            return Err(LogRefusal::NotOneLine);
        }
        Ok(())
    }
}

fn check_stream_name(name: &str) -> Result<(), LogRefusal> {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    if name.is_empty() || name.len() > MAX_STREAM_NAME_BYTES || !name.bytes().all(allowed) {
        let name = name.chars().take(MAX_STREAM_NAME_BYTES).collect();
        return Err(LogRefusal::InvalidStreamName { name });
    }
    Ok(())
}
