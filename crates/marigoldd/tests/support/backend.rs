//! A backend server that counts each run and fails as it is told by the path.

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

/// The bytes of a large body, and of its parts.
pub const LARGE: usize = 32 << 20;
const PART: usize = 64 << 10;

type Body = UnsyncBoxBody<Bytes, std::io::Error>;

#[derive(Default)]
pub struct Seen {
    /// Runs by the text of the body, or the path where there is none.
    pub runs: Mutex<HashMap<String, usize>>,
    pub headers: Mutex<Vec<HeaderMap>>,
    /// Requests that have begun and not ended.
    pub busy: AtomicUsize,
    /// Requests whose connection was closed before their answer.
    pub cancelled: AtomicUsize,
    pub healthy: AtomicBool,
    /// Lets `/hold` requests go on.
    pub release: watch::Sender<bool>,
    pub changed: Notify,
    /// Ends the whole backend server.
    pub crash: Notify,
}

pub struct Backend {
    pub address: SocketAddr,
    pub seen: Arc<Seen>,
    task: tokio::task::AbortHandle,
}

impl Backend {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let seen = Arc::new(Seen::default());
        seen.healthy.store(true, Ordering::SeqCst);
        let task = tokio::spawn(serve(listener, seen.clone())).abort_handle();
        Self {
            address,
            seen,
            task,
        }
    }

    /// Returns whether it has crashed or was stopped.
    pub fn is_gone(&self) -> bool {
        self.task.is_finished()
    }

    pub fn runs(&self, name: &str) -> usize {
        let runs = self.seen.runs.lock().unwrap();
        runs.get(name).copied().unwrap_or_default()
    }

    pub fn total(&self) -> usize {
        self.seen.runs.lock().unwrap().values().sum()
    }

    /// Waits until `test` holds; it is looked at after each change.
    pub async fn wait(&self, test: impl Fn(&Seen) -> bool) {
        loop {
            let changed = self.seen.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if test(&self.seen) {
                return;
            }
            changed.await;
        }
    }

    pub async fn wait_busy(&self, count: usize) {
        self.wait(|seen| seen.busy.load(Ordering::SeqCst) == count)
            .await;
    }

    pub fn release(&self) {
        self.seen.release.send_replace(true);
    }

    /// Lets further `/hold` requests wait for another release.
    pub fn hold(&self) {
        self.seen.release.send_replace(false);
    }

    /// Ends it with all its connections.
    pub fn stop(&self) {
        self.task.abort();
    }
}

async fn serve(listener: TcpListener, seen: Arc<Seen>) {
    // Dropped with the listener, so that a crash closes every connection.
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = seen.crash.notified() => return,
        };
        let (stream, _) = accepted.unwrap();
        let seen = seen.clone();
        connections.spawn(async move {
            let closing = Arc::new(Notify::new());
            let handed = closing.clone();
            let service = service_fn(move |request| {
                let (seen, closing) = (seen.clone(), handed.clone());
                async move { Ok::<_, Infallible>(answer(request, seen, closing).await) }
            });
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service);
            tokio::select! {
                _ = connection => {}
                // The connection is closed in the middle of whatever goes on.
                () = closing.notified() => {}
            }
        });
    }
}

struct Busy {
    seen: Arc<Seen>,
    ended: bool,
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.seen.busy.fetch_sub(1, Ordering::SeqCst);
        if !self.ended {
            self.seen.cancelled.fetch_add(1, Ordering::SeqCst);
        }
        self.seen.changed.notify_waiters();
    }
}

async fn answer(
    request: Request<Incoming>,
    seen: Arc<Seen>,
    closing: Arc<Notify>,
) -> Response<Body> {
    let path = request.uri().path().to_owned();
    if path == "/health" {
        let healthy = seen.healthy.load(Ordering::SeqCst);
        let mut response = Response::new(whole(Bytes::new()));
        if !healthy {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        return response;
    }
    seen.busy.fetch_add(1, Ordering::SeqCst);
    seen.changed.notify_waiters();
    let mut busy = Busy {
        seen: seen.clone(),
        ended: false,
    };
    seen.headers.lock().unwrap().push(request.headers().clone());
    let kind = path.rsplit('/').next().unwrap_or_default().to_owned();
    if kind == "upload" {
        let mut size = 0;
        let mut body = request.into_body();
        while let Some(Ok(frame)) = body.frame().await {
            size += frame.data_ref().map_or(0, Bytes::len);
        }
        count(&seen, &path);
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
    count(&seen, &name);
    let response = match kind.as_str() {
        "hold" => {
            let mut release = seen.release.subscribe();
            release.wait_for(|released| *released).await.unwrap();
            Response::new(whole(Bytes::from_static(b"held")))
        }
        "crash" => {
            seen.crash.notify_one();
            std::future::pending().await
        }
        "die" => {
            closing.notify_one();
            std::future::pending().await
        }
        "cut" => {
            let mut response = Response::new(parts(3, Some(closing)));
            let length = (10 * PART).to_string();
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
            let part = Bytes::from(vec![b'x'; PART]);
            // The body holds the request as busy until its connection is closed.
            let parts = stream::unfold(busy, move |busy| {
                let part = part.clone();
                async move { Some((Ok(Frame::data(part)), busy)) }
            });
            return Response::new(StreamBody::new(parts).boxed_unsync());
        }
        "large" => Response::new(parts(LARGE / PART, None)),
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

fn count(seen: &Seen, name: &str) {
    *seen
        .runs
        .lock()
        .unwrap()
        .entry(name.to_owned())
        .or_default() += 1;
    seen.changed.notify_waiters();
}

fn whole(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

fn parts(count: usize, closing: Option<Arc<Notify>>) -> Body {
    parts_of(count, PART, closing)
}

/// Sends `count` parts; then the connection is closed, or the body ends.
fn parts_of(count: usize, size: usize, closing: Option<Arc<Notify>>) -> Body {
    let part = Bytes::from(vec![b'x'; size]);
    let parts = stream::iter((0..count).map(move |_| Ok(Frame::data(part.clone()))));
    let end = stream::once(async move {
        if let Some(closing) = closing {
            // What was sent before gets out first.
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            closing.notify_one();
            std::future::pending::<()>().await;
        }
        Ok(Frame::data(Bytes::new()))
    });
    StreamBody::new(parts.chain(end)).boxed_unsync()
}
