//! The log over HTTP.

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

/// Requests that are worked on at once; a slow log holds each of them.
const THREADS: usize = 64;
/// The largest control order.
const MAX_ORDER_BYTES: u64 = 4 << 10;
const DEFAULT_LIMIT: usize = 100;
const STATUS_BAD: u16 = 400;
const STATUS_MISSING: u16 = 404;
const STATUS_GONE: u16 = 410;
const STATUS_TOO_LARGE: u16 = 413;
const STATUS_TOO_MANY: u16 = 429;
const STATUS_UNAVAILABLE: u16 = 503;
/// The length that a lost answer promises and never delivers.
const LOST_BYTES: usize = 64;

#[derive(Serialize)]
struct AppendAnswer {
    offset: LogOffset,
    time: RecordTime,
}

#[derive(Serialize)]
struct ReadAnswer {
    records: Vec<marigold_log::StoredRecord>,
    earliest: LogOffset,
    end: LogOffset,
}

#[derive(Serialize)]
struct GoneAnswer {
    earliest: LogOffset,
}

/// A running log; it stops when dropped.
pub struct LogServer {
    address: SocketAddr,
    stop: Sender<()>,
    thread: Option<JoinHandle<()>>,
}

impl LogServer {
    /// Starts an empty log at `listen`.
    ///
    /// # Errors
    ///
    /// When the address cannot be listened on, as when the port is in use.
    pub fn start(listen: SocketAddr, limits: LogLimits) -> Result<Self, StandinError> {
        let store = Mutex::new(LogStore::new(limits, Instant::now()));
        let server = Server::new(listen, move |request| answer(&store, request))
            .map_err(|error| StandinError::new("listen", &listen, &error))?
            .pool_size(THREADS);
        let address = server.server_addr();
        let (thread, stop) = server.stoppable();
        Ok(Self {
            address,
            stop,
            thread: Some(thread),
        })
    }

    /// Returns where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the base address that clients use.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Waits until the server ends.
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

fn answer(store: &Mutex<LogStore>, request: &Request) -> Response {
    let url = request.url();
    let parts: Vec<&str> = url.trim_matches('/').split('/').collect();
    match (request.method(), parts.as_slice()) {
        ("POST", ["v1", "streams", stream, "records"]) => append(store, request, stream),
        ("GET", ["v1", "streams", stream, "records"]) => read(store, request, stream),
        ("POST", ["v1", "control"]) => control(store, request),
        ("GET", ["v1", "control"]) => Response::json(&lock(store).totals()),
        _ => text(
            STATUS_MISSING,
            "known paths: /v1/streams/{stream}/records, /v1/control",
        ),
    }
}

fn append(store: &Mutex<LogStore>, request: &Request, stream: &str) -> Response {
    let allowed = lock(store).limits().record;
    let data = match body(request, allowed.0 + 1) {
        Ok(data) => data,
        Err(response) => return response,
    };
    std::thread::sleep(lock(store).delay());

    let mut store = lock(store);
    match store.append(stream, data, time(), Instant::now()) {
        Ok(_) if store.loses_answer() => lost(),
        Ok(appended) => Response::json(&AppendAnswer {
            offset: appended.offset,
            time: appended.time,
        }),
        Err(refusal) => refuse(&refusal),
    }
}

fn read(store: &Mutex<LogStore>, request: &Request, stream: &str) -> Response {
    let from = request
        .get_param("from")
        .map_or(Ok(LogOffset(0)), |text| text.parse());
    let limit = request
        .get_param("limit")
        .map_or(Ok(DEFAULT_LIMIT), |text| text.parse());
    let (Ok(from), Ok(limit)) = (from, limit) else {
        return text(STATUS_BAD, "`from` and `limit` are whole numbers");
    };
    std::thread::sleep(lock(store).delay());

    match lock(store).read(stream, from, limit, time()) {
        Ok(batch) => Response::json(&ReadAnswer {
            records: batch.records,
            earliest: batch.earliest,
            end: batch.end,
        }),
        Err(refusal) => refuse(&refusal),
    }
}

fn control(store: &Mutex<LogStore>, request: &Request) -> Response {
    let order = match body(request, MAX_ORDER_BYTES) {
        Ok(order) => order,
        Err(response) => return response,
    };
    let order: LogControl = match serde_json::from_str(&order) {
        Ok(order) => order,
        Err(error) => return text(STATUS_BAD, &format!("not a control order: {error}")),
    };
    let mut store = lock(store);
    match store.control(&order, Instant::now()) {
        Ok(()) => Response::json(&store.totals()),
        Err(refusal) => refuse(&refusal),
    }
}

fn body(request: &Request, limit: u64) -> Result<String, Response> {
    let mut bytes = Vec::new();
    let data = request.data().ok_or_else(|| text(STATUS_BAD, "no body"))?;
    data.take(limit)
        .read_to_end(&mut bytes)
        .map_err(|error| text(STATUS_BAD, &format!("the body ended early: {error}")))?;
    String::from_utf8(bytes).map_err(|_| text(STATUS_BAD, "the body is not UTF-8"))
}

fn refuse(refusal: &LogRefusal) -> Response {
    let status = match refusal {
        LogRefusal::Trimmed { earliest } => {
            let earliest = *earliest;
            return Response::json(&GoneAnswer { earliest }).with_status_code(STATUS_GONE);
        }
        LogRefusal::Down => STATUS_UNAVAILABLE,
        LogRefusal::TooMany { .. } => STATUS_TOO_MANY,
        LogRefusal::TooLarge { .. } => STATUS_TOO_LARGE,
        LogRefusal::NotOneLine
        | LogRefusal::BadStream { .. }
        | LogRefusal::TooManyStreams { .. } => STATUS_BAD,
    };
    text(status, &refusal.to_string())
}

/// Promises a body that never comes, so that the client knows nothing of the write.
fn lost() -> Response {
    Response {
        status_code: 200,
        headers: Vec::new(),
        data: ResponseBody::from_reader_and_size(CutBody, LOST_BYTES),
        upgrade: None,
    }
}

struct CutBody;

impl Read for CutBody {
    fn read(&mut self, _: &mut [u8]) -> io::Result<usize> {
        Err(io::ErrorKind::ConnectionAborted.into())
    }
}

fn text(status: u16, message: &str) -> Response {
    Response::text(format!("{message}\n")).with_status_code(status)
}

fn time() -> RecordTime {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    RecordTime(u64::try_from(now.as_millis()).unwrap_or(u64::MAX))
}

fn lock(store: &Mutex<LogStore>) -> MutexGuard<'_, LogStore> {
    store.lock().unwrap_or_else(PoisonError::into_inner)
}
