//! HTTP client of the platform's log.

use std::sync::Arc;

use async_trait::async_trait;
use marigold_http::ResponseHead;
use marigold_types::{LogOffset, RecordTime};
use serde::Deserialize;
use tokio::time::Instant;

use crate::{Appended, Batch, LogError, LogFailure, PlatformLog, StoredRecord, StreamName};

/// Size limit of a response body, which prevents a faulty log from exhausting memory.
const MAX_RESPONSE_BYTES: u64 = 16 << 20;
const STATUS_GONE: u16 = 410;
const STATUS_TOO_MANY_REQUESTS: u16 = 429;
const STATUS_SERVICE_UNAVAILABLE: u16 = 503;

#[derive(Deserialize)]
struct AppendResponse {
    offset: LogOffset,
    time: RecordTime,
}

#[derive(Deserialize)]
struct ReadResponse {
    records: Vec<StoredRecord>,
    earliest: LogOffset,
    end: LogOffset,
}

#[derive(Deserialize)]
struct GoneResponse {
    earliest: LogOffset,
}

struct LogResponse {
    status: u16,
    body: Vec<u8>,
}

/// A client of the log, which opens a new connection for each request and closes it afterwards.
///
/// Keep-alive connections to a `rouille` server stall for seconds, see docs/design/http.md.
#[derive(Debug, Clone)]
pub struct HttpLog {
    base_url: Arc<str>,
}

impl HttpLog {
    /// Creates a client of the log at `base_url`, such as `http://10.0.0.1:9000`.
    #[must_use]
    pub fn new(base_url: &str) -> Self {
        Self {
            base_url: Arc::from(base_url.trim_end_matches('/')),
        }
    }

    fn error(&self, step: &'static str, failure: LogFailure) -> LogError {
        LogError {
            step,
            peer: self.base_url.clone(),
            failure,
        }
    }

    async fn send(
        &self,
        step: &'static str,
        path: String,
        body: Option<String>,
        deadline: Instant,
    ) -> Result<LogResponse, LogError> {
        // The timeout is recomputed for each attempt, so that retries do not exceed the deadline.
        let timeout = deadline.saturating_duration_since(Instant::now());
        if timeout.is_zero() {
            let reason = Arc::from("the deadline passed before sending");
            return Err(self.error(step, LogFailure::Unavailable { reason }));
        }
        let url = format!("{}{path}", self.base_url);
        let task = tokio::task::spawn_blocking(move || send_blocking(&url, body, timeout));
        let joined = task
            .await
            .map_err(|error| unknown_failure(&error.to_string()));
        joined
            .and_then(|result| result)
            .map_err(|failure| self.error(step, failure))
    }
}

fn send_blocking(
    url: &str,
    body: Option<String>,
    timeout: std::time::Duration,
) -> Result<LogResponse, LogFailure> {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .timeout_global(Some(timeout))
        .http_status_as_error(false)
        .max_idle_connections(0)
        .build()
        .into();
    let sent = match body {
        Some(data) => agent.post(url).header("connection", "close").send(data),
        None => agent.get(url).header("connection", "close").call(),
    };
    let mut response = sent.map_err(|error| classify_error(&error))?;
    ResponseHead::check(&response).map_err(|error| unknown_failure(&error.to_string()))?;
    let status = response.status().as_u16();
    let body = response
        .body_mut()
        .with_config()
        .limit(MAX_RESPONSE_BYTES)
        .read_to_vec();
    let body = body.map_err(|error| unknown_failure(&error.to_string()))?;
    Ok(LogResponse { status, body })
}

fn classify_error(error: &ureq::Error) -> LogFailure {
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

fn unknown_failure(reason: &str) -> LogFailure {
    LogFailure::Unknown {
        reason: Arc::from(reason),
    }
}

fn classify_status(response: &LogResponse) -> LogFailure {
    let reason: Arc<str> = Arc::from(String::from_utf8_lossy(&response.body).trim());
    match response.status {
        STATUS_GONE => match serde_json::from_slice::<GoneResponse>(&response.body) {
            Ok(gone) => LogFailure::Trimmed {
                earliest: gone.earliest,
            },
            Err(_) => LogFailure::Refused { reason },
        },
        STATUS_TOO_MANY_REQUESTS | STATUS_SERVICE_UNAVAILABLE => LogFailure::Unavailable { reason },
        400..500 => LogFailure::Refused { reason },
        _ => LogFailure::Unknown { reason },
    }
}

fn decode<T: for<'a> Deserialize<'a>>(response: &LogResponse) -> Result<T, LogFailure> {
    if response.status != 200 {
        return Err(classify_status(response));
    }
    serde_json::from_slice(&response.body).map_err(|error| unknown_failure(&error.to_string()))
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
        let response = self.send("append", path, Some(data), deadline).await?;
        let AppendResponse { offset, time } =
            decode(&response).map_err(|failure| self.error("append", failure))?;
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
        let response = self.send("read", path, None, deadline).await?;
        let ReadResponse {
            records,
            earliest,
            end,
        } = decode(&response).map_err(|failure| self.error("read", failure))?;
        Ok(Batch {
            records,
            earliest,
            end,
        })
    }
}
