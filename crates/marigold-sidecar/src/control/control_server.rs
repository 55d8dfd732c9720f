//! Answers the platform, the backend server and whoever reads the metrics.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use marigold_dispatch::AnnouncementOutcome;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use super::protocol::{ControlCall, ControlProtocol};
use crate::events::{EventLog, Severity};
use crate::executor::LocalExecutor;

/// The largest body of a call.
const MAX_BODY: usize = 64 << 10;
/// How long a head may take.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// How long to wait after a failed accept, as when descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
const METRICS_PATH: &str = "/metrics";

/// Whether callers may come, decided by whoever knows all parts.
pub type ReadinessCheck = Rc<dyn Fn() -> bool>;

/// Serves calls to the daemon itself.
pub struct ControlServer {
    protocol: Rc<dyn ControlProtocol>,
    executor: Rc<LocalExecutor>,
    events: Rc<EventLog>,
    is_ready: ReadinessCheck,
    metrics: PrometheusHandle,
}

impl ControlServer {
    /// Builds the server.
    #[must_use]
    pub fn new(
        protocol: Rc<dyn ControlProtocol>,
        executor: Rc<LocalExecutor>,
        events: Rc<EventLog>,
        is_ready: ReadinessCheck,
        metrics: PrometheusHandle,
    ) -> Rc<Self> {
        Rc::new(Self {
            protocol,
            executor,
            events,
            is_ready,
            metrics,
        })
    }

    /// Takes connections until the task is dropped.
    pub async fn listen(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::task::spawn_local(self.clone().connection(stream));
                }
                Err(error) => {
                    spdlog::warn!("accepting a control connection failed: {error}");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn connection(self: Rc<Self>, stream: TcpStream) {
        let server = self.clone();
        let service = service_fn(move |request| {
            let server = server.clone();
            async move { Ok::<_, Infallible>(server.answer(request).await) }
        });
        let result = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .serve_connection(TokioIo::new(stream), service)
            .await;
        if let Err(error) = result {
            spdlog::debug!("a control connection ended: {error}");
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        if method == hyper::Method::GET && path == METRICS_PATH {
            return reply(
                StatusCode::OK,
                Bytes::from(self.metrics.render()),
                "text/plain",
            );
        }
        let body = match Limited::new(request.into_body(), MAX_BODY).collect().await {
            Ok(body) => body.to_bytes(),
            Err(error) => return problem(StatusCode::BAD_REQUEST, error.to_string()),
        };
        match self.protocol.decode(method.as_str(), &path, &body) {
            Ok(ControlCall::Readiness) if (self.is_ready)() => {
                reply(StatusCode::OK, Bytes::new(), "text/plain")
            }
            Ok(ControlCall::Readiness) => {
                problem(StatusCode::SERVICE_UNAVAILABLE, "not ready".to_owned())
            }
            Ok(ControlCall::Announce(news)) => {
                let heard = self.executor.announced(&news);
                self.note(heard, &news.identity, news.sequence);
                let (body, kind) = self.protocol.acknowledgement();
                reply(StatusCode::OK, body, kind)
            }
            Ok(ControlCall::Leave { identity }) => {
                let heard = self.executor.left(&identity);
                self.note(heard, &identity, 0);
                let (body, kind) = self.protocol.acknowledgement();
                reply(StatusCode::OK, body, kind)
            }
            Err(error) => {
                self.events.emit(
                    "control_call_refused",
                    Severity::Warn,
                    &[("path", path.into()), ("cause", error.to_string().into())],
                );
                problem(StatusCode::BAD_REQUEST, error.to_string())
            }
        }
    }

    fn note(&self, heard: AnnouncementOutcome, identity: &str, sequence: u64) {
        let what = match heard {
            AnnouncementOutcome::NewInstance => "new",
            AnnouncementOutcome::Draining => "leaving",
            AnnouncementOutcome::Stale => "stale",
            AnnouncementOutcome::Unchanged => return,
        };
        self.events.emit(
            "backend_announced",
            Severity::Info,
            &[
                ("identity", identity.into()),
                ("sequence", sequence.into()),
                ("taken_as", what.into()),
            ],
        );
    }
}

fn reply(status: StatusCode, body: Bytes, kind: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, hyper::header::HeaderValue::from_static(kind));
    response
}

fn problem(status: StatusCode, text: String) -> Response<Full<Bytes>> {
    reply(status, Bytes::from(text), "text/plain")
}
