//! A backend server that counts runs, and whose behaviour depends on the last segment of the path.

use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use tokio::task::JoinSet;

/// The size of a large body.
pub const LARGE_BODY_BYTES: usize = 32 << 20;
/// The size of one chunk of a streamed body.
const PART_BYTES: usize = 64 << 10;

type Body = UnsyncBoxBody<Bytes, std::io::Error>;

#[derive(Default)]
pub struct BackendState {
    /// The number of runs by body text, or by path if the body is empty.
    pub runs: Mutex<HashMap<String, usize>>,
    pub headers: Mutex<Vec<HeaderMap>>,
    /// Requests in progress.
    pub busy: AtomicUsize,
    /// Requests whose connection was closed before the answer.
    pub cancelled: AtomicUsize,
    pub healthy: AtomicBool,
    /// Releases `/hold` requests.
    pub release: watch::Sender<bool>,
    pub changed: Notify,
    /// Stops the backend server with all its connections.
    pub crash: Notify,
}

pub struct Backend {
    pub address: SocketAddr,
    pub state: Arc<BackendState>,
    task: tokio::task::AbortHandle,
}

impl Backend {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(BackendState::default());
        state.healthy.store(true, Ordering::SeqCst);
        let task = tokio::spawn(serve(listener, state.clone())).abort_handle();
        Self {
            address,
            state,
            task,
        }
    }

    /// Returns whether the backend server has crashed or was stopped.
    pub fn is_stopped(&self) -> bool {
        self.task.is_finished()
    }

    pub fn runs(&self, name: &str) -> usize {
        let runs = self.state.runs.lock().unwrap();
        runs.get(name).copied().unwrap_or_default()
    }

    pub fn total(&self) -> usize {
        self.state.runs.lock().unwrap().values().sum()
    }

    /// Waits until `test` holds. It is evaluated after each change.
    pub async fn wait(&self, test: impl Fn(&BackendState) -> bool) {
        loop {
            let changed = self.state.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if test(&self.state) {
                return;
            }
            changed.await;
        }
    }

    pub async fn wait_busy(&self, count: usize) {
        self.wait(|state| state.busy.load(Ordering::SeqCst) == count)
            .await;
    }

    pub fn release(&self) {
        self.state.release.send_replace(true);
    }

    /// Makes further `/hold` requests wait for another release.
    pub fn hold(&self) {
        self.state.release.send_replace(false);
    }

    /// Stops the backend server with all its connections.
    pub fn stop(&self) {
        self.task.abort();
    }
}

async fn serve(listener: TcpListener, state: Arc<BackendState>) {
    // Dropped with the listener, so that a crash closes every connection.
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = state.crash.notified() => return,
        };
        let (stream, _) = accepted.unwrap();
        let state = state.clone();
        connections.spawn(async move {
            let closing = Arc::new(Notify::new());
            let service_closing = closing.clone();
            let service = service_fn(move |request| {
                let (state, closing) = (state.clone(), service_closing.clone());
                async move { Ok::<_, Infallible>(answer(request, state, closing).await) }
            });
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service);
            tokio::select! {
                _ = connection => {}
                // Closes the connection whatever request is in progress.
                () = closing.notified() => {}
            }
        });
    }
}

/// Counts a request as busy until dropped.
struct BusyGuard {
    state: Arc<BackendState>,
    ended: bool,
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.state.busy.fetch_sub(1, Ordering::SeqCst);
        if !self.ended {
            self.state.cancelled.fetch_add(1, Ordering::SeqCst);
        }
        self.state.changed.notify_waiters();
    }
}

async fn answer(
    request: Request<Incoming>,
    state: Arc<BackendState>,
    closing: Arc<Notify>,
) -> Response<Body> {
    let path = request.uri().path().to_owned();
    if path == "/health" {
        let healthy = state.healthy.load(Ordering::SeqCst);
        let mut response = Response::new(whole(Bytes::new()));
        if !healthy {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        return response;
    }
    state.busy.fetch_add(1, Ordering::SeqCst);
    state.changed.notify_waiters();
    let mut busy = BusyGuard {
        state: state.clone(),
        ended: false,
    };
    state
        .headers
        .lock()
        .unwrap()
        .push(request.headers().clone());
    let kind = path.rsplit('/').next().unwrap_or_default().to_owned();
    if kind == "upload" {
        let mut size = 0;
        let mut body = request.into_body();
        while let Some(Ok(frame)) = body.frame().await {
            size += frame.data_ref().map_or(0, Bytes::len);
        }
        count(&state, &path);
        busy.ended = true;
        return Response::new(whole(Bytes::from(size.to_string())));
    }
    let body = match request.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => return Response::new(whole(Bytes::new())),
    };
    let name = if body.is_empty() {
        path.clone()
    } else {
        String::from_utf8_lossy(&body).into_owned()
    };
    if kind == "shed" {
        busy.ended = true;
        return shed();
    }
    count(&state, &name);
    let response = match kind.as_str() {
        "hold" => {
            let mut release = state.release.subscribe();
            release.wait_for(|released| *released).await.unwrap();
            Response::new(whole(Bytes::from_static(b"held")))
        }
        "crash" => {
            state.crash.notify_one();
            std::future::pending().await
        }
        "die" => {
            closing.notify_one();
            std::future::pending().await
        }
        "cut" => {
            let mut response = Response::new(parts(3, Some(closing)));
            let length = (10 * PART_BYTES).to_string();
            response
                .headers_mut()
                .insert("content-length", length.parse().unwrap());
            response
        }
        "cut-small" => {
            let mut response = Response::new(parts_of(1, 10, Some(closing)));
            response
                .headers_mut()
                .insert("content-length", "100".parse().unwrap());
            response
        }
        "cut-chunked" => Response::new(parts(3, Some(closing))),
        "endless" => {
            let part = Bytes::from(vec![b'x'; PART_BYTES]);
            // The body keeps the request counted as busy until its connection is closed.
            let parts = stream::unfold(busy, move |busy| {
                let part = part.clone();
                async move { Some((Ok(Frame::data(part)), busy)) }
            });
            return Response::new(StreamBody::new(parts).boxed_unsync());
        }
        "large" => Response::new(parts(LARGE_BODY_BYTES / PART_BYTES, None)),
        _ => Response::new(whole(body)),
    };
    busy.ended = true;
    response
}

fn shed() -> Response<Body> {
    let mut response = Response::new(whole(Bytes::new()));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response
        .headers_mut()
        .insert("load-shed", "true".parse().unwrap());
    response
}

fn count(state: &BackendState, name: &str) {
    *state
        .runs
        .lock()
        .unwrap()
        .entry(name.to_owned())
        .or_default() += 1;
    state.changed.notify_waiters();
}

fn whole(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

fn parts(count: usize, closing: Option<Arc<Notify>>) -> Body {
    parts_of(count, PART_BYTES, closing)
}

/// Returns a body of `count` parts, after which the connection is closed if `closing` is given.
fn parts_of(count: usize, size: usize, closing: Option<Arc<Notify>>) -> Body {
    let part = Bytes::from(vec![b'x'; size]);
    let parts = stream::iter((0..count).map(move |_| Ok(Frame::data(part.clone()))));
    let end = stream::once(async move {
        if let Some(closing) = closing {
            // Give the earlier parts time to be sent.
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            closing.notify_one();
            std::future::pending::<()>().await;
        }
        Ok(Frame::data(Bytes::new()))
    });
    StreamBody::new(parts.chain(end)).boxed_unsync()
}
