//! The platform's log over HTTP.

use std::sync::Arc;

use async_trait::async_trait;
use marigold_types::{LogOffset, RecordTime};
use serde::Deserialize;
use tokio::time::Instant;

use crate::{Appended, Batch, LogError, LogFailure, PlatformLog, StoredRecord, StreamName};

/// The largest answer that is read, so that a broken log cannot fill the memory.
const MAX_ANSWER_BYTES: u64 = 16 << 20;
const STATUS_GONE: u16 = 410;
const STATUS_TOO_MANY: u16 = 429;
const STATUS_UNAVAILABLE: u16 = 503;

#[derive(Deserialize)]
struct AppendAnswer {
    offset: LogOffset,
    time: RecordTime,
}

#[derive(Deserialize)]
struct ReadAnswer {
    records: Vec<StoredRecord>,
    earliest: LogOffset,
    end: LogOffset,
}

#[derive(Deserialize)]
struct GoneAnswer {
    earliest: LogOffset,
}

struct Answer {
    status: u16,
    body: Vec<u8>,
}

/// A client of the log; each request has a connection of its own, closed after it.
///
/// Kept-alive connections to a `rouille` server stall for seconds, see docs/design/http.md.
#[derive(Debug, Clone)]
pub struct HttpLog {
    base: Arc<str>,
}

impl HttpLog {
    /// Builds a client of the log at `base`, as `http://10.0.0.1:9000`.
    #[must_use]
    pub fn new(base: &str) -> Self {
        Self {
            base: Arc::from(base.trim_end_matches('/')),
        }
    }

    fn error(&self, step: &'static str, failure: LogFailure) -> LogError {
        LogError {
            step,
            peer: self.base.clone(),
            failure,
        }
    }

    async fn send(
        &self,
        step: &'static str,
        path: String,
        body: Option<String>,
        deadline: Instant,
    ) -> Result<Answer, LogError> {
        // The time left is taken afresh for each attempt, never a fixed timeout.
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            let reason = Arc::from("the deadline passed before sending");
            return Err(self.error(step, LogFailure::Unavailable { reason }));
        }
        let url = format!("{}{path}", self.base);
        let task = tokio::task::spawn_blocking(move || exchange(&url, body, left));
        let joined = task.await.map_err(|error| unknown(&error.to_string()));
        joined
            .and_then(|result| result)
            .map_err(|failure| self.error(step, failure))
    }
}

fn exchange(
    url: &str,
    body: Option<String>,
    left: std::time::Duration,
) -> Result<Answer, LogFailure> {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .timeout_global(Some(left))
        .http_status_as_error(false)
        .max_idle_connections(0)
        .build()
        .into();
    let sent = match body {
        Some(data) => agent.post(url).header("connection", "close").send(data),
        None => agent.get(url).header("connection", "close").call(),
    };
    let mut response = sent.map_err(|error| failure_of(&error))?;
    let status = response.status().as_u16();
    let body = response
        .body_mut()
        .with_config()
        .limit(MAX_ANSWER_BYTES)
        .read_to_vec();
    let body = body.map_err(|error| unknown(&error.to_string()))?;
    Ok(Answer { status, body })
}

fn failure_of(error: &ureq::Error) -> LogFailure {
    let reason: Arc<str> = Arc::from(error.to_string());
    match error {
        ureq::Error::HostNotFound | ureq::Error::ConnectionFailed | ureq::Error::BadUri(_) => {
            LogFailure::Unavailable { reason }
        }
        ureq::Error::Io(io) if io.kind() == std::io::ErrorKind::ConnectionRefused => {
            LogFailure::Unavailable { reason }
        }
        _ => LogFailure::Unknown { reason },
    }
}

fn unknown(reason: &str) -> LogFailure {
    LogFailure::Unknown {
        reason: Arc::from(reason),
    }
}

fn judge(answer: &Answer) -> LogFailure {
    let reason: Arc<str> = Arc::from(String::from_utf8_lossy(&answer.body).trim());
    match answer.status {
        STATUS_GONE => match serde_json::from_slice::<GoneAnswer>(&answer.body) {
            Ok(gone) => LogFailure::Trimmed {
                earliest: gone.earliest,
            },
            Err(_) => LogFailure::Refused { reason },
        },
        STATUS_TOO_MANY | STATUS_UNAVAILABLE => LogFailure::Unavailable { reason },
        400..500 => LogFailure::Refused { reason },
        _ => LogFailure::Unknown { reason },
    }
}

fn decode<T: for<'a> Deserialize<'a>>(answer: &Answer) -> Result<T, LogFailure> {
    if answer.status != 200 {
        return Err(judge(answer));
    }
    serde_json::from_slice(&answer.body).map_err(|error| unknown(&error.to_string()))
}

#[async_trait]
impl PlatformLog for HttpLog {
    async fn append(
        &self,
        stream: StreamName,
        data: String,
        deadline: Instant,
    ) -> Result<Appended, LogError> {
        let path = format!("/v1/streams/{stream}/records");
        let answer = self.send("append", path, Some(data), deadline).await?;
        let AppendAnswer { offset, time } =
            decode(&answer).map_err(|failure| self.error("append", failure))?;
        Ok(Appended { offset, time })
    }

    async fn read(
        &self,
        stream: StreamName,
        from: LogOffset,
        limit: usize,
        deadline: Instant,
    ) -> Result<Batch, LogError> {
        let path = format!("/v1/streams/{stream}/records?from={from}&limit={limit}");
        let answer = self.send("read", path, None, deadline).await?;
        let ReadAnswer {
            records,
            earliest,
            end,
        } = decode(&answer).map_err(|failure| self.error("read", failure))?;
        Ok(Batch {
            records,
            earliest,
            end,
        })
    }
}
