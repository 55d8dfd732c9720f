//! A log in memory that can be told to fail.

#![allow(dead_code, reason = "each test file uses its own part")]

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use marigold_log::{Appended, Batch, LogError, LogFailure, PlatformLog, StoredRecord, StreamName};
use marigold_types::{LogOffset, RecordTime};
use tokio::time::{Instant, sleep};

/// The log's clock, which stands still.
pub const TIME: RecordTime = RecordTime(1_767_600_000_000);

/// What the log does wrong once.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// The record is written, the answer is lost.
    Lost,
    /// The answer is lost and the record is written so much later.
    Late(Duration),
    /// Nothing is written and the answer is lost all the same.
    Dropped,
    /// The log refuses to serve.
    Down,
    /// The answer takes so long.
    Slow(Duration),
}

#[derive(Default)]
pub struct Inner {
    pub records: Vec<StoredRecord>,
    pub earliest: u64,
    pub appends: VecDeque<Fault>,
    pub reads: VecDeque<Fault>,
    pub down: bool,
    pub count: usize,
    /// The log's clock; [`TIME`] where it is not set.
    pub time: Option<RecordTime>,
}

impl Inner {
    fn push(&mut self, data: String) -> Appended {
        let offset = LogOffset(self.records.len() as u64);
        let time = self.time.unwrap_or(TIME);
        self.records.push(StoredRecord { offset, time, data });
        Appended { offset, time }
    }
}

/// A log in memory whose next requests can be told to fail.
#[derive(Clone, Default)]
pub struct FakeLog(Arc<Mutex<Inner>>);

impl FakeLog {
    pub fn with(&self, change: impl FnOnce(&mut Inner)) {
        change(&mut self.0.lock().unwrap());
    }

    pub fn count(&self) -> usize {
        self.0.lock().unwrap().count
    }

    pub fn len(&self) -> usize {
        self.0.lock().unwrap().records.len()
    }
}

fn fail(failure: LogFailure) -> LogError {
    LogError {
        step: "append",
        peer: Arc::from("fake"),
        failure,
    }
}

fn lost() -> LogError {
    let reason = Arc::from("connection closed");
    fail(LogFailure::Unknown { reason })
}

fn unavailable() -> LogError {
    let reason = Arc::from("down");
    fail(LogFailure::Unavailable { reason })
}

#[async_trait]
impl PlatformLog for FakeLog {
    async fn append(
        &self,
        _stream: StreamName,
        data: String,
        deadline: Instant,
    ) -> Result<Appended, LogError> {
        let fault = {
            let mut inner = self.0.lock().unwrap();
            inner.count += 1;
            if inner.down {
                return Err(unavailable());
            }
            inner.appends.pop_front()
        };
        match fault {
            None => Ok(self.0.lock().unwrap().push(data)),
            Some(Fault::Lost) => {
                self.0.lock().unwrap().push(data);
                Err(lost())
            }
            Some(Fault::Late(delay)) => {
                let log = self.clone();
                tokio::spawn(async move {
                    sleep(delay).await;
                    log.0.lock().unwrap().push(data);
                });
                Err(lost())
            }
            Some(Fault::Dropped) => Err(lost()),
            Some(Fault::Down) => Err(unavailable()),
            Some(Fault::Slow(delay)) if Instant::now() + delay > deadline => {
                self.0.lock().unwrap().push(data);
                tokio::time::sleep_until(deadline).await;
                Err(lost())
            }
            Some(Fault::Slow(delay)) => {
                sleep(delay).await;
                Ok(self.0.lock().unwrap().push(data))
            }
        }
    }

    async fn read(
        &self,
        _stream: StreamName,
        from: LogOffset,
        limit: usize,
        deadline: Instant,
    ) -> Result<Batch, LogError> {
        let fault = self.0.lock().unwrap().reads.pop_front();
        match fault {
            Some(Fault::Slow(delay)) => {
                tokio::time::sleep_until(deadline.min(Instant::now() + delay)).await;
                if Instant::now() >= deadline {
                    return Err(lost());
                }
            }
            Some(_) => return Err(unavailable()),
            None => {}
        }
        let inner = self.0.lock().unwrap();
        if inner.down {
            return Err(unavailable());
        }
        let earliest = LogOffset(inner.earliest);
        if from < earliest {
            return Err(fail(LogFailure::Trimmed { earliest }));
        }
        let start = usize::try_from(from.0).unwrap();
        Ok(Batch {
            records: inner
                .records
                .iter()
                .skip(start)
                .take(limit)
                .cloned()
                .collect(),
            earliest,
            end: LogOffset(inner.records.len() as u64),
        })
    }
}
