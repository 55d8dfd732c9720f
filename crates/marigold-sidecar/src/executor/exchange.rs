//! One request to the backend server and its response.

use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use marigold_dispatch::Claimant;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::sleep;

use super::backend_conn::BackendConn;
use super::{BackendPool, ExecutorOptions};
use crate::http1::{HttpError, ParsedResponse, Response, ResponseReader, encode_request};
use crate::link::Call;
use crate::{Body, Charge, HeaderNames, MemoryBudget, SEGMENT_BYTES};

/// Status of a backend server's response to a request whose deadline has passed.
pub const STATUS_DEADLINE_PASSED: u16 = 504;
const READ_BUFFER_BYTES: usize = 8 << 10;
/// Status of a request whose expected identity is not the one of the backend server.
const STATUS_MISDIRECTED: u16 = 421;
/// A response whose body is larger is received only with a permit, see [`BackendRequest::large_bodies`].
const MAX_SMALL_BODY_BYTES: usize = 64 << 10;
/// What another response begins with.
const RESPONSE_START: &[u8] = b"HTTP/1.";
/// Delay before a response for which there was no memory is read on.
const MEMORY_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Responses to other requests that are discarded before the exchange fails.
const MAX_STRAY_RESPONSES: u32 = 8;

/// An encoded request to the backend server.
#[derive(Debug, Clone)]
pub struct BackendRequest {
    /// Request id, which the response must repeat.
    pub id: Arc<str>,
    /// Whether the response has no body, as for `HEAD`.
    pub bodiless: bool,
    /// Encoded head, and the body unless it is large.
    pub bytes: Bytes,
    /// Large body, which follows.
    pub body: Body,
    /// A response with a larger body is an error.
    pub max_body_bytes: u64,
    /// Permits for receiving large bodies, shared by all requests to the backend server. They bound the memory that
    /// responses without end take together.
    pub large_bodies: Arc<Semaphore>,
    /// The budget that the response counts towards.
    pub memory: Rc<MemoryBudget>,
}

impl BackendRequest {
    /// Builds the request of a call to the backend server with `identity`, which stops work on it after `time_left`.
    #[must_use]
    pub fn for_call(
        call: &Call,
        identity: &str,
        time_left: Duration,
        options: &ExecutorOptions,
    ) -> Self {
        let names = &options.names;
        let mut extra = format!(
            "{}: {}\r\n{}: {identity}\r\n{}: {}\r\n",
            names.deadline,
            time_left.as_millis().max(1),
            names.expected_identity,
            names.origin,
            call.origin,
        );
        if let Some(workspace) = &call.workspace {
            for part in [&names.workspace, ": ", workspace.as_str(), "\r\n"] {
                extra.push_str(part);
            }
        }
        let (inline, body) = if call.body.len() <= SEGMENT_BYTES {
            (call.body.to_bytes(), Body::default())
        } else {
            (Bytes::new(), call.body.clone())
        };
        let (method, len) = (&call.method, call.body.len());
        let bytes = encode_request(method, &call.target, &call.fields, &extra, &inline, len);
        Self {
            id: call.request_id.clone(),
            bodiless: &*call.method == "HEAD",
            bytes,
            body,
            max_body_bytes: options.max_response_body_bytes,
            large_bodies: options.large_bodies.clone(),
            memory: options.memory.clone(),
        }
    }

    /// Returns the length of head and body.
    fn len(&self) -> usize {
        self.bytes.len() + self.body.len()
    }

    /// Returns what is sent next after `sent` bytes.
    fn unsent(&self, sent: usize) -> &[u8] {
        match sent.checked_sub(self.bytes.len()) {
            None => &self.bytes[sent..],
            Some(offset) => self.body.rest_of_segment(offset),
        }
    }
}

/// What a response says about the backend server itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendStatement {
    /// The fields that name its limit of requests per second, separated by commas, if there are any.
    pub request_limit: Option<Arc<str>>,
    /// Whether it says that it is shutting down.
    pub leaving: bool,
    /// Whether it ran the request. One that rejects requests may leave fields out.
    pub has_run: bool,
}

/// A request sent to the backend server and what came back.
#[derive(Debug, Clone, PartialEq)]
pub struct ExchangeResult {
    /// The outcome of the request.
    pub outcome: ExchangeOutcome,
    /// What the response says about the backend server, unless it is from another one.
    pub statement: Option<BackendStatement>,
}

impl ExchangeResult {
    /// Returns whether it shows that the backend server was alive. The end of a process closes its connections, too.
    #[must_use]
    pub fn is_sound(&self) -> bool {
        match &self.outcome {
            ExchangeOutcome::Broken(error) => !error.is_disconnect(),
            ExchangeOutcome::Rejected { status } => *status != STATUS_MISDIRECTED,
            ExchangeOutcome::Answered(_) => true,
        }
    }
}

/// Outcome of a request sent to the backend server.
#[derive(Debug, Clone, PartialEq)]
pub enum ExchangeOutcome {
    /// The request ran and this is its complete response.
    Answered(Response),
    /// The backend server reports that it did not run the request.
    Rejected {
        /// HTTP status of the response.
        status: u16,
    },
    /// There is no valid response; the request may have run.
    Broken(ExchangeError),
}

/// Why there is no valid response.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ExchangeError {
    /// The connection failed.
    #[error("{operation}: {kind}")]
    Io {
        /// The operation that failed.
        operation: &'static str,
        /// Kind of the underlying error.
        kind: io::ErrorKind,
    },
    /// The response is malformed, truncated or too large.
    #[error("reading the response: {0}")]
    Http(#[from] HttpError),
    /// A successful response is unsigned or content-encoded, so it is not from the backend server itself.
    #[error("successful response is unsigned or content-encoded")]
    NotAuthentic,
    /// Only responses to other requests were received.
    #[error("received only responses to other requests")]
    StrayResponses,
    /// The response is followed by bytes that begin no other one, so its length is wrong.
    #[error("response is followed by other bytes")]
    ExcessBytes,
}

impl ExchangeError {
    /// Returns whether the connection ended before the response did.
    fn is_disconnect(&self) -> bool {
        matches!(self, Self::Io { .. } | Self::Http(HttpError::Truncated))
    }
}

/// Sends `request` over `conn` and waits for its response.
///
/// The connection returns to `pool` only if it is certain to carry no leftover bytes of this exchange.
pub async fn exchange(
    pool: &BackendPool,
    mut conn: BackendConn,
    names: &Arc<HeaderNames>,
    request: &BackendRequest,
) -> ExchangeResult {
    let mut reader = ResponseReader::new(names.clone(), request.bodiless, request.max_body_bytes);
    let mut sent = 0;
    let mut permit = None;
    let mut charge = request.memory.charge();
    let mut stray_responses = 0;
    let mut parsed = loop {
        let read = read_response(
            &mut conn,
            &mut reader,
            request,
            &mut sent,
            &mut permit,
            &mut charge,
        );
        let parsed = match read.await {
            Ok(parsed) => parsed,
            Err(error) => return broken(error),
        };
        if is_response_to(&parsed, &request.id) {
            break parsed;
        }
        stray_responses += 1;
        if stray_responses > MAX_STRAY_RESPONSES || parsed.close_delimited {
            return broken(ExchangeError::StrayResponses);
        }
    };
    // A second copy of a response may follow it.
    let excess = &conn.input[..conn.input.len().min(RESPONSE_START.len())];
    if !RESPONSE_START.starts_with(excess) {
        return broken(ExchangeError::ExcessBytes);
    }
    parsed.response.body = charge.attach(&parsed.response.body);
    // Excess input belongs to no request. If the request was not sent completely, the backend server would
    // take the next request for the rest of its body.
    let is_clean = stray_responses == 0 && conn.input.is_empty() && sent == request.len();
    // A late second copy of a response without an id would pass for the response to the next request.
    let has_id = parsed.id.is_some();
    if is_clean && has_id && !parsed.close && !parsed.close_delimited {
        pool.release(conn, parsed.idle_timeout);
    }
    let statement = (parsed.response.status != STATUS_MISDIRECTED).then(|| BackendStatement {
        request_limit: parsed.request_limit.as_deref().map(Arc::from),
        leaving: parsed.leaving,
        has_run: !parsed.not_run,
    });
    let outcome = classify(parsed);
    // A response that is not authentic may be from anybody.
    let statement = statement.filter(|_| !matches!(outcome, ExchangeOutcome::Broken(_)));
    ExchangeResult { outcome, statement }
}

fn broken(error: ExchangeError) -> ExchangeResult {
    ExchangeResult {
        outcome: ExchangeOutcome::Broken(error),
        statement: None,
    }
}

/// Returns whether the response is to the request with `id`.
///
/// A backend server that rejects a request without reading it may omit the id.
fn is_response_to(parsed: &ParsedResponse, id: &str) -> bool {
    match &parsed.id {
        Some(other) => **other == *id,
        None => !parsed.signed && parsed.response.status >= 400,
    }
}

fn classify(parsed: ParsedResponse) -> ExchangeOutcome {
    let status = parsed.response.status;
    if parsed.not_run || status == STATUS_MISDIRECTED {
        return ExchangeOutcome::Rejected { status };
    }
    let is_success = (200..300).contains(&status);
    if is_success && (!parsed.signed || parsed.encoded) {
        return ExchangeOutcome::Broken(ExchangeError::NotAuthentic);
    }
    ExchangeOutcome::Answered(parsed.response)
}

async fn read_response(
    conn: &mut BackendConn,
    reader: &mut ResponseReader,
    request: &BackendRequest,
    sent: &mut usize,
    permit: &mut Option<OwnedSemaphorePermit>,
    charge: &mut Charge,
) -> Result<ParsedResponse, ExchangeError> {
    loop {
        if let Some(parsed) = reader.next(&mut conn.input)? {
            return Ok(parsed);
        }
        let is_large = reader.body_len() + conn.input.len() > MAX_SMALL_BODY_BYTES;
        if is_large && permit.is_none() {
            // The semaphore is never closed.
            *permit = request.large_bodies.clone().acquire_owned().await.ok();
        }
        let held = conn.input.capacity() + reader.allocated_after(READ_BUFFER_BYTES);
        // The deadline of the request bounds the wait.
        while (request.memory)
            .grow(charge, held, Claimant::Transit)
            .await
            .is_err()
        {
            sleep(MEMORY_RETRY_DELAY).await;
        }
        let (mut read, mut write) = conn.stream.split();
        conn.input.reserve(READ_BUFFER_BYTES);
        let input: &mut BytesMut = &mut conn.input;
        // The response may arrive before the request has been sent completely.
        tokio::select! {
            result = write.write(request.unsent(*sent)), if *sent < request.len() => {
                *sent += result.map_err(|error| io_error("sending the request", &error))?;
            }
            result = read.read_buf(input) => {
                match result {
                    Ok(0) => return Ok(reader.finish()?),
                    Ok(_) => {}
                    Err(error) => return Err(io_error("reading the response", &error)),
                }
            }
        }
    }
}

fn io_error(operation: &'static str, error: &io::Error) -> ExchangeError {
    ExchangeError::Io {
        operation,
        kind: error.kind(),
    }
}
