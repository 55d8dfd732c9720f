//! The log within one process.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_trait::async_trait;
use marigold_log::{Appended, Batch, LogError, LogFailure, PlatformLog, StreamName};
use marigold_types::{LogOffset, RecordTime};
use tokio::time::Instant;

use super::{LogControl, LogLimits, LogRefusal, LogStore, LogTotals};

const PEER: &str = "memory";

/// The stand-in without its HTTP form, for tests and for many daemons in one process.
///
/// It keeps the runtime's clock, which tests pause; its records' times go on from the wall clock's
/// at its start.
#[derive(Debug, Clone)]
pub struct MemoryLog {
    store: Arc<Mutex<LogStore>>,
    epoch: Duration,
    started: Instant,
}

impl MemoryLog {
    /// Starts an empty log whose clock goes on from the wall clock.
    #[must_use]
    pub fn new(limits: LogLimits) -> Self {
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        Self::starting_at(limits, epoch.unwrap_or_default())
    }

    /// Starts an empty log whose clock stands at `epoch` after 1970-01-01 UTC.
    #[must_use]
    pub fn starting_at(limits: LogLimits, epoch: Duration) -> Self {
        let started = Instant::now();
        Self {
            store: Arc::new(Mutex::new(LogStore::new(limits, started))),
            epoch,
            started,
        }
    }

    /// Makes or mends faults.
    ///
    /// # Errors
    ///
    /// When the order names a malformed stream.
    pub fn control(&self, order: &LogControl) -> Result<(), LogRefusal> {
        self.with(|store| store.control(order, Instant::now()))
    }

    /// Returns the counters.
    #[must_use]
    pub fn totals(&self) -> LogTotals {
        self.with(|store| store.totals())
    }

    fn with<T>(&self, action: impl FnOnce(&mut LogStore) -> T) -> T {
        // A store is whole between calls, so that a poisoned lock does no harm.
        action(&mut self.store.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn time(&self) -> RecordTime {
        let now = self.epoch + self.started.elapsed();
        RecordTime(u64::try_from(now.as_millis()).unwrap_or(u64::MAX))
    }

    async fn wait(&self) {
        let delay = self.with(|store| store.delay());
        // Even an empty sleep lasts to the timer's next millisecond.
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
    }

    async fn write(self, stream: StreamName, data: String) -> Result<Appended, LogFailure> {
        self.wait().await;
        let time = self.time();
        let (result, lost) = self.with(|store| {
            let result = store.append(&stream.to_string(), data, time, Instant::now());
            let lost = result.is_ok() && store.loses_answer();
            (result, lost)
        });
        if lost {
            return Err(unknown("the answer was lost"));
        }
        result.map_err(|refusal| failure(&refusal))
    }

    async fn fetch(
        self,
        stream: StreamName,
        from: LogOffset,
        limit: usize,
    ) -> Result<Batch, LogFailure> {
        self.wait().await;
        let time = self.time();
        self.with(|store| store.read(&stream.to_string(), from, limit, time))
            .map_err(|refusal| failure(&refusal))
    }
}

fn unknown(reason: &str) -> LogFailure {
    LogFailure::Unknown {
        reason: Arc::from(reason),
    }
}

fn failure(refusal: &LogRefusal) -> LogFailure {
    let reason: Arc<str> = Arc::from(refusal.to_string());
    match refusal {
        LogRefusal::Down | LogRefusal::TooMany { .. } => LogFailure::Unavailable { reason },
        LogRefusal::Trimmed { earliest } => LogFailure::Trimmed {
            earliest: *earliest,
        },
        LogRefusal::TooLarge { .. }
        | LogRefusal::NotOneLine
        | LogRefusal::BadStream { .. }
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
        // A write that its caller has given up on still takes effect, as it would at a server.
        let write = tokio::spawn(self.clone().write(stream, data));
        let result = match tokio::time::timeout_at(deadline, write).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(unknown("the log stopped")),
            Err(_) => Err(unknown("the deadline passed")),
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
        let fetch = self.clone().fetch(stream, from, limit);
        let result = match tokio::time::timeout_at(deadline, fetch).await {
            Ok(result) => result,
            Err(_) => Err(unknown("the deadline passed")),
        };
        result.map_err(|failure| error("read", failure))
    }
}
