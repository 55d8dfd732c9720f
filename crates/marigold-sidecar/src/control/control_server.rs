//! HTTP server for readiness checks, announcements of the backend server, and metrics.

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
use marigold_types::ServiceName;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use super::backend_discovery::BackendDiscovery;
use super::protocol::{ControlCall, ControlProtocol};
use super::site_publisher::SitePublisher;
use crate::events::{EventLog, Severity};
use crate::executor::LocalExecutor;

/// Limit on the body of a control request.
const MAX_BODY_BYTES: usize = 64 << 10;
/// Time limit for reading a request head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
const METRICS_PATH: &str = "/metrics";

/// Returns whether the daemon is ready to accept requests from callers.
pub type ReadinessCheck = Rc<dyn Fn() -> bool>;
/// Returns whether the configuration or the settings name a service.
pub type ServiceCheck = Rc<dyn Fn(&ServiceName) -> bool>;

/// Dependencies of a [`ControlServer`].
pub struct ControlParts {
    /// Receives what is announced of the backend server.
    pub executor: Rc<LocalExecutor>,
    /// Records departures of the backend server.
    pub publisher: Rc<SitePublisher>,
    /// Restores a departure that an earlier run of the daemon has recorded.
    pub discovery: Rc<BackendDiscovery>,
    /// Log of state changes.
    pub events: Rc<EventLog>,
    /// Decides readiness checks.
    pub is_ready: ReadinessCheck,
    /// Decides whether an announcement is of a service here.
    pub is_named: ServiceCheck,
    /// Renders metrics.
    pub metrics: PrometheusHandle,
}

/// Serves requests addressed to the daemon itself.
pub struct ControlServer {
    protocol: Rc<dyn ControlProtocol>,
    parts: ControlParts,
}

impl ControlServer {
    /// Creates a server that decodes requests by `protocol`.
    #[must_use]
    pub fn new(protocol: Rc<dyn ControlProtocol>, parts: ControlParts) -> Rc<Self> {
        Rc::new(Self { protocol, parts })
    }

    /// Accepts connections until the task is dropped.
    pub async fn listen(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::task::spawn_local(self.clone().serve_connection(stream));
                }
                Err(error) => {
                    spdlog::warn!("failed to accept a control connection: {error}");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn serve_connection(self: Rc<Self>, stream: TcpStream) {
        let server = self.clone();
        let service = service_fn(move |request| {
            let server = server.clone();
            async move { Ok::<_, Infallible>(server.handle(request).await) }
        });
        let result = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .serve_connection(TokioIo::new(stream), service)
            .await;
        if let Err(error) = result {
            spdlog::debug!("control connection failed: {error}");
        }
    }

    async fn handle(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        if method == hyper::Method::GET && path == METRICS_PATH {
            return response(
                StatusCode::OK,
                Bytes::from(self.parts.metrics.render()),
                "text/plain",
            );
        }
        let body = match Limited::new(request.into_body(), MAX_BODY_BYTES)
            .collect()
            .await
        {
            Ok(body) => body.to_bytes(),
            Err(error) => return error_response(StatusCode::BAD_REQUEST, error.to_string()),
        };
        match self.protocol.decode(method.as_str(), &path, &body) {
            Ok(ControlCall::Readiness) if (self.parts.is_ready)() => {
                response(StatusCode::OK, Bytes::new(), "text/plain")
            }
            Ok(ControlCall::Readiness) => {
                error_response(StatusCode::SERVICE_UNAVAILABLE, "not ready".to_owned())
            }
            Ok(ControlCall::Announce(announcement))
                if !(self.parts.is_named)(&announcement.service) =>
            {
                let cause = format!(
                    "no configuration names the service {}",
                    announcement.service
                );
                self.refuse(path, cause)
            }
            Ok(ControlCall::Announce(announcement)) => {
                self.parts.discovery.departure_checked().await;
                let outcome = self.parts.executor.apply_announcement(&announcement);
                if outcome == AnnouncementOutcome::Draining {
                    self.parts.publisher.record_departure().await;
                }
                self.log_announcement(outcome, &announcement.identity, announcement.sequence);
                let (body, content_type) = self.protocol.acknowledgement();
                response(StatusCode::OK, body, content_type)
            }
            Ok(ControlCall::Leave { identity }) => {
                self.parts.discovery.departure_checked().await;
                let outcome = self.parts.executor.mark_departed(&identity);
                let departure = self.parts.executor.leaving();
                if departure.is_some_and(|departure| departure.identity == identity) {
                    self.parts.publisher.record_departure().await;
                }
                self.log_announcement(outcome, &identity, 0);
                let (body, content_type) = self.protocol.acknowledgement();
                response(StatusCode::OK, body, content_type)
            }
            Err(error) => self.refuse(path, error.to_string()),
        }
    }

    fn refuse(&self, path: String, cause: String) -> Response<Full<Bytes>> {
        self.parts.events.emit(
            "control_call_refused",
            Severity::Warn,
            &[("path", path.into()), ("cause", cause.clone().into())],
        );
        error_response(StatusCode::BAD_REQUEST, cause)
    }

    fn log_announcement(&self, outcome: AnnouncementOutcome, identity: &str, sequence: u64) {
        let result = match outcome {
            AnnouncementOutcome::NewInstance => "new",
            AnnouncementOutcome::Draining => "leaving",
            AnnouncementOutcome::Stale => "stale",
            AnnouncementOutcome::Unchanged => return,
        };
        self.parts.events.emit(
            "backend_announced",
            Severity::Info,
            &[
                ("identity", identity.into()),
                ("sequence", sequence.into()),
                ("taken_as", result.into()),
            ],
        );
    }
}

fn response(status: StatusCode, body: Bytes, content_type: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response.headers_mut().insert(
        CONTENT_TYPE,
        hyper::header::HeaderValue::from_static(content_type),
    );
    response
}

fn error_response(status: StatusCode, text: String) -> Response<Full<Bytes>> {
    response(status, Bytes::from(text), "text/plain")
}
