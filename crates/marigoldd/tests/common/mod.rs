//! An in-memory platform log with fault injection.

#![allow(dead_code, reason = "each test file uses its own part")]

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use marigold_log::{Appended, Batch, LogError, LogFailure, PlatformLog, StoredRecord, StreamName};
use marigold_types::{LogOffset, RecordTime};
use tokio::time::{Instant, sleep};

/// The default time of the log's records; the clock does not advance by itself.
pub const TIME: RecordTime = RecordTime(1_767_600_000_000);

/// A fault that is injected into one request.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// The record is written, but the response is lost.
    ResponseLost,
    /// The response is lost and the record is written after the delay.
    WrittenLate(Duration),
    /// The request is lost: nothing is written and no response arrives.
    RequestLost,
    /// The log responds that it is unavailable.
    Unavailable,
    /// The response is delayed. If the delay exceeds the deadline of an append, the record is written
    /// and the response is lost.
    Slow(Duration),
}

#[derive(Default)]
pub struct Inner {
    pub records: Vec<StoredRecord>,
    pub earliest: u64,
    pub appends: VecDeque<Fault>,
    pub reads: VecDeque<Fault>,
    pub unavailable: bool,
    pub append_count: usize,
    /// The time of new records; [`TIME`] when absent.
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

/// An in-memory log whose next requests can be made to fail.
#[derive(Clone, Default)]
pub struct FakeLog(Arc<Mutex<Inner>>);

impl FakeLog {
    pub fn with(&self, change: impl FnOnce(&mut Inner)) {
        change(&mut self.0.lock().unwrap());
    }

    pub fn append_count(&self) -> usize {
        self.0.lock().unwrap().append_count
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

fn response_lost() -> LogError {
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
            inner.append_count += 1;
            if inner.unavailable {
                return Err(unavailable());
            }
            inner.appends.pop_front()
        };
        match fault {
            None => Ok(self.0.lock().unwrap().push(data)),
            Some(Fault::ResponseLost) => {
                self.0.lock().unwrap().push(data);
                Err(response_lost())
            }
            Some(Fault::WrittenLate(delay)) => {
                let log = self.clone();
                tokio::spawn(async move {
                    sleep(delay).await;
                    log.0.lock().unwrap().push(data);
                });
                Err(response_lost())
            }
            Some(Fault::RequestLost) => Err(response_lost()),
            Some(Fault::Unavailable) => Err(unavailable()),
            Some(Fault::Slow(delay)) if Instant::now() + delay > deadline => {
                self.0.lock().unwrap().push(data);
                tokio::time::sleep_until(deadline).await;
                Err(response_lost())
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
                    return Err(response_lost());
                }
            }
            Some(_) => return Err(unavailable()),
            None => {}
        }
        let inner = self.0.lock().unwrap();
        if inner.unavailable {
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
