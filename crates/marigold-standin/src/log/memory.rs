//! The log in the memory of one process.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_trait::async_trait;
use marigold_log::{Appended, Batch, LogError, LogFailure, PlatformLog, StreamName};
use marigold_types::{LogOffset, RecordTime};
use tokio::time::Instant;

use super::{LogControl, LogLimits, LogRefusal, LogStore, LogTotals};

const PEER: &str = "memory";

/// The stand-in without HTTP, for tests and for meshes whose daemons run in one process.
///
/// Time advances with the clock of the Tokio runtime, which tests can pause. Record times start at the
/// wall-clock time at which the log was created.
#[derive(Debug, Clone)]
pub struct MemoryLog {
    store: Arc<Mutex<LogStore>>,
    epoch: Duration,
    started: Instant,
}

impl MemoryLog {
    /// Creates an empty log whose clock starts at the current wall-clock time.
    #[must_use]
    pub fn new(limits: LogLimits) -> Self {
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        Self::starting_at(limits, epoch.unwrap_or_default())
    }

    /// Creates an empty log whose clock starts at `epoch` after 1970-01-01 UTC.
    #[must_use]
    pub fn starting_at(limits: LogLimits, epoch: Duration) -> Self {
        let started = Instant::now();
        Self {
            store: Arc::new(Mutex::new(LogStore::new(limits, started))),
            epoch,
            started,
        }
    }

    /// Injects or clears faults.
    ///
    /// # Errors
    ///
    /// If the order contains an invalid stream name.
    pub fn control(&self, order: &LogControl) -> Result<(), LogRefusal> {
        self.with_store(|store| store.control(order, Instant::now()))
    }

    /// Returns the counters since the log was created.
    #[must_use]
    pub fn totals(&self) -> LogTotals {
        self.with_store(|store| store.totals())
    }

    fn with_store<T>(&self, action: impl FnOnce(&mut LogStore) -> T) -> T {
        // Every call leaves the store consistent, so a poisoned lock can be used.
        action(&mut self.store.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn time(&self) -> RecordTime {
        let now = self.epoch + self.started.elapsed();
        RecordTime(u64::try_from(now.as_millis()).unwrap_or(u64::MAX))
    }

    async fn apply_delay(&self) {
        let delay = self.with_store(|store| store.delay());
        // Even a sleep of zero lasts until the timer's next millisecond.
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
    }

    async fn append_after_delay(
        self,
        stream: StreamName,
        data: String,
    ) -> Result<Appended, LogFailure> {
        self.apply_delay().await;
        let time = self.time();
        let (result, lost) = self.with_store(|store| {
            let result = store.append(&stream.to_string(), data, time, Instant::now());
            let lost = result.is_ok() && store.take_lost_answer();
            (result, lost)
        });
        if lost {
            return Err(unknown("the answer was lost after the append took effect"));
        }
        result.map_err(|refusal| to_failure(&refusal))
    }

    async fn read_after_delay(
        self,
        stream: StreamName,
        from: LogOffset,
        limit: usize,
    ) -> Result<Batch, LogFailure> {
        self.apply_delay().await;
        let time = self.time();
        self.with_store(|store| store.read(&stream.to_string(), from, limit, time))
            .map_err(|refusal| to_failure(&refusal))
    }
}

fn unknown(reason: &str) -> LogFailure {
    LogFailure::Unknown {
        reason: Arc::from(reason),
    }
}

fn to_failure(refusal: &LogRefusal) -> LogFailure {
    let reason: Arc<str> = Arc::from(refusal.to_string());
    match refusal {
        LogRefusal::Down | LogRefusal::RateLimited { .. } => LogFailure::Unavailable { reason },
        LogRefusal::Trimmed { earliest } => LogFailure::Trimmed {
            earliest: *earliest,
        },
        LogRefusal::TooLarge { .. }
        | LogRefusal::NotOneLine
        | LogRefusal::InvalidStreamName { .. }
        | LogRefusal::TooManyStreams { .. } => LogFailure::Refused { reason },
    }
}

fn error(step: &'static str, failure: LogFailure) -> LogError {
    LogError {
        step,
        peer: Arc::from(PEER),
        failure,
    }
}

#[async_trait]
impl PlatformLog for MemoryLog {
    async fn append(
        &self,
        stream: StreamName,
        data: String,
        deadline: Instant,
    ) -> Result<Appended, LogError> {
        // The write runs in its own task: as on a server, it takes effect even if the deadline passes first.
        let write = tokio::spawn(self.clone().append_after_delay(stream, data));
        let result = match tokio::time::timeout_at(deadline, write).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(unknown("the task of the append panicked or was cancelled")),
            Err(_) => Err(unknown("the deadline passed before the log answered")),
        };
        result.map_err(|failure| error("append", failure))
    }

    async fn read(
        &self,
        stream: StreamName,
        from: LogOffset,
        limit: usize,
        deadline: Instant,
    ) -> Result<Batch, LogError> {
        let read = self.clone().read_after_delay(stream, from, limit);
        let result = match tokio::time::timeout_at(deadline, read).await {
            Ok(result) => result,
            Err(_) => Err(unknown("the deadline passed before the log answered")),
        };
        result.map_err(|failure| error("read", failure))
    }
}
