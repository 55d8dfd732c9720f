//! HTTP server for the log.

use std::io::{self, Read};
use std::net::SocketAddr;
use std::sync::mpsc::Sender;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{SystemTime, UNIX_EPOCH};

use marigold_types::{LogOffset, RecordTime};
use rouille::{Request, Response, ResponseBody, Server};
use serde::Serialize;
use tokio::time::Instant;

use super::{LogControl, LogLimits, LogRefusal, LogStore};
use crate::StandinError;

/// The number of requests served at once. An injected delay blocks a thread for each request.
const WORKER_THREADS: usize = 64;
const MAX_ORDER_BYTES: u64 = 4 << 10;
const DEFAULT_READ_RECORDS: usize = 100;
const STATUS_BAD_REQUEST: u16 = 400;
const STATUS_NOT_FOUND: u16 = 404;
const STATUS_GONE: u16 = 410;
const STATUS_TOO_LARGE: u16 = 413;
const STATUS_TOO_MANY_REQUESTS: u16 = 429;
const STATUS_UNAVAILABLE: u16 = 503;
/// The `Content-Length` of a response whose body is never sent.
const LOST_BODY_BYTES: usize = 64;

#[derive(Serialize)]
struct AppendResponse {
    offset: LogOffset,
    time: RecordTime,
}

#[derive(Serialize)]
struct ReadResponse {
    records: Vec<marigold_log::StoredRecord>,
    earliest: LogOffset,
    end: LogOffset,
}

#[derive(Serialize)]
struct TrimmedResponse {
    earliest: LogOffset,
}

/// A running HTTP server. Dropping it stops the server.
pub struct LogServer {
    address: SocketAddr,
    stop: Sender<()>,
    thread: Option<JoinHandle<()>>,
}

impl LogServer {
    /// Starts a server with an empty log at `listen`.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound, for example because the port is in use.
    pub fn start(listen: SocketAddr, limits: LogLimits) -> Result<Self, StandinError> {
        let store = Mutex::new(LogStore::new(limits, Instant::now()));
        let server = Server::new(listen, move |request| handle(&store, request))
            .map_err(|error| StandinError::new("listen", &listen, &error))?
            .pool_size(WORKER_THREADS);
        let address = server.server_addr();
        let (thread, stop) = server.stoppable();
        Ok(Self {
            address,
            stop,
            thread: Some(thread),
        })
    }

    /// Returns the address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the base URL for clients.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Blocks until the server thread ends.
    pub fn join(mut self) {
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for LogServer {
    fn drop(&mut self) {
        let _ = self.stop.send(());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn handle(store: &Mutex<LogStore>, request: &Request) -> Response {
    let url = request.url();
    let parts: Vec<&str> = url.trim_matches('/').split('/').collect();
    match (request.method(), parts.as_slice()) {
        ("POST", ["v1", "streams", stream, "records"]) => append(store, request, stream),
        ("GET", ["v1", "streams", stream, "records"]) => read(store, request, stream),
        ("POST", ["v1", "control"]) => control(store, request),
        ("GET", ["v1", "control"]) => Response::json(&lock(store).totals()),
        _ => text_response(
            STATUS_NOT_FOUND,
            "known paths: /v1/streams/{stream}/records, /v1/control",
        ),
    }
}

fn append(store: &Mutex<LogStore>, request: &Request, stream: &str) -> Response {
    let max_record = lock(store).limits().max_record;
    let data = match read_body(request, max_record.0 + 1) {
        Ok(data) => data,
        Err(response) => return response,
    };
    std::thread::sleep(lock(store).delay());

    let mut store = lock(store);
    match store.append(stream, data, current_time(), Instant::now()) {
        Ok(_) if store.take_lost_answer() => truncated_response(),
        Ok(appended) => Response::json(&AppendResponse {
            offset: appended.offset,
            time: appended.time,
        }),
        Err(refusal) => refusal_response(&refusal),
    }
}

fn read(store: &Mutex<LogStore>, request: &Request, stream: &str) -> Response {
    let from = request
        .get_param("from")
        .map_or(Ok(LogOffset(0)), |text| text.parse());
    let limit = request
        .get_param("limit")
        .map_or(Ok(DEFAULT_READ_RECORDS), |text| text.parse());
    let (Ok(from), Ok(limit)) = (from, limit) else {
        return text_response(
            STATUS_BAD_REQUEST,
            "`from` and `limit` must be non-negative integers",
        );
    };
    std::thread::sleep(lock(store).delay());

    match lock(store).read(stream, from, limit, current_time()) {
        Ok(batch) => Response::json(&ReadResponse {
            records: batch.records,
            earliest: batch.earliest,
            end: batch.end,
        }),
        Err(refusal) => refusal_response(&refusal),
    }
}

fn control(store: &Mutex<LogStore>, request: &Request) -> Response {
    let order = match read_body(request, MAX_ORDER_BYTES) {
        Ok(order) => order,
        Err(response) => return response,
    };
    let order: LogControl = match serde_json::from_str(&order) {
        Ok(order) => order,
        Err(error) => {
            return text_response(
                STATUS_BAD_REQUEST,
                &format!("invalid control order: {error}"),
            );
        }
    };
    let mut store = lock(store);
    match store.control(&order, Instant::now()) {
        Ok(()) => Response::json(&store.totals()),
        Err(refusal) => refusal_response(&refusal),
    }
}

fn read_body(request: &Request, limit: u64) -> Result<String, Response> {
    let mut bytes = Vec::new();
    let data = request
        .data()
        .ok_or_else(|| text_response(STATUS_BAD_REQUEST, "the body cannot be read"))?;
    data.take(limit).read_to_end(&mut bytes).map_err(|error| {
        text_response(
            STATUS_BAD_REQUEST,
            &format!("cannot read the body: {error}"),
        )
    })?;
    String::from_utf8(bytes).map_err(|_| text_response(STATUS_BAD_REQUEST, "the body is not UTF-8"))
}

fn refusal_response(refusal: &LogRefusal) -> Response {
    let status = match refusal {
        LogRefusal::Trimmed { earliest } => {
            let earliest = *earliest;
            return Response::json(&TrimmedResponse { earliest }).with_status_code(STATUS_GONE);
        }
        LogRefusal::Down => STATUS_UNAVAILABLE,
        LogRefusal::RateLimited { .. } => STATUS_TOO_MANY_REQUESTS,
        LogRefusal::TooLarge { .. } => STATUS_TOO_LARGE,
        LogRefusal::NotOneLine
        | LogRefusal::InvalidStreamName { .. }
        | LogRefusal::TooManyStreams { .. } => STATUS_BAD_REQUEST,
    };
    text_response(status, &refusal.to_string())
}

/// Returns a response whose body fails before its first byte, so that the client cannot tell whether
/// the append took effect.
fn truncated_response() -> Response {
    Response {
        status_code: 200,
        headers: Vec::new(),
        data: ResponseBody::from_reader_and_size(FailingBody, LOST_BODY_BYTES),
        upgrade: None,
    }
}

struct FailingBody;

impl Read for FailingBody {
    fn read(&mut self, _: &mut [u8]) -> io::Result<usize> {
        Err(io::ErrorKind::ConnectionAborted.into())
    }
}

fn text_response(status: u16, message: &str) -> Response {
    Response::text(format!("{message}\n")).with_status_code(status)
}

fn current_time() -> RecordTime {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    RecordTime(u64::try_from(now.as_millis()).unwrap_or(u64::MAX))
}

fn lock(store: &Mutex<LogStore>) -> MutexGuard<'_, LogStore> {
    store.lock().unwrap_or_else(PoisonError::into_inner)
}
