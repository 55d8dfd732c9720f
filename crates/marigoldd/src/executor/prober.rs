//! Probes the health of the backend server. Answers to real requests override failed probes.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Empty;
use hyper::client::conn::http1;
use hyper::header::{CONNECTION, HOST, HeaderValue};
use hyper::{Request, Uri};
use hyper_util::rt::TokioIo;
use marigold_http::ResponseHead;
use tokio::net::TcpStream;
use tokio::time::{Instant, MissedTickBehavior, interval, timeout};

use super::LocalExecutor;

/// Consecutive failed probes after which the backend server counts as unhealthy.
const MAX_CONSECUTIVE_FAILURES: u32 = 2;
/// The limit on one probe, including its connection.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long an answer to a real request overrides failed probes.
const ANSWER_VALIDITY: Duration = Duration::from_secs(3);
/// The path that is probed when the service declares none.
const DEFAULT_PATH: &str = "/health";

/// Polls the health endpoint of the backend server.
pub struct Prober {
    executor: Arc<LocalExecutor>,
    consecutive_failures: u32,
    /// Whether the latest probe was refused a connection.
    is_refused: bool,
}

impl Prober {
    /// Creates the prober of an executor. The backend server is unhealthy until a probe succeeds.
    #[must_use]
    pub fn new(executor: Arc<LocalExecutor>) -> Self {
        Self {
            executor,
            consecutive_failures: MAX_CONSECUTIVE_FAILURES,
            is_refused: false,
        }
    }

    /// Probes for as long as the daemon runs.
    pub async fn run(mut self) {
        let period = self.executor.shared.settings.admin.health_interval;
        let mut server = self.executor.shared.server.subscribe();
        let mut ticks = interval(period.duration());
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                changed = server.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    // A new announcement is unhealthy until a probe succeeds.
                    self.consecutive_failures = MAX_CONSECUTIVE_FAILURES;
                }
            }
            let healthy = self.check().await;
            let was_healthy = *self.executor.shared.healthy.borrow();
            if self.is_refused && was_healthy {
                // Nothing listens any more. Exchanges that their callers had given up cannot show the crash.
                self.executor.crashes.record_crash();
            }
            self.executor.shared.healthy.send_if_modified(|current| {
                let changed = *current != healthy;
                *current = healthy;
                changed
            });
        }
    }

    async fn check(&mut self) -> bool {
        let server = self.executor.shared.server.borrow().clone();
        let Some(server) = server else {
            return false;
        };
        let view = self.executor.shared.view.load();
        let path = view
            .config
            .service(&server.service)
            .map_or_else(|| DEFAULT_PATH.to_owned(), |s| s.health.to_string());
        let probed = timeout(PROBE_TIMEOUT, probe(server.address, &path)).await;
        self.is_refused = matches!(probed, Ok(ProbeOutcome::Refused));
        if matches!(probed, Ok(ProbeOutcome::Healthy)) {
            self.consecutive_failures = 0;
        } else {
            self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        }
        // The health endpoint may lag or be wrong, so a recent answer to a real request overrides
        // it.
        let answered = self.executor.answered_at();
        let is_answering =
            answered.is_some_and(|at| Instant::now().duration_since(at) < ANSWER_VALIDITY);
        !self.is_refused && (is_answering || self.consecutive_failures < MAX_CONSECUTIVE_FAILURES)
    }
}

/// The outcome of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProbeOutcome {
    /// The health endpoint reports success.
    Healthy,
    /// The health endpoint reports a failure, or does not answer.
    Unhealthy,
    /// Nothing accepts connections at the address.
    Refused,
}

async fn probe(address: SocketAddr, path: &str) -> ProbeOutcome {
    let stream = match TcpStream::connect(address).await {
        Ok(stream) => stream,
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => return ProbeOutcome::Refused,
        Err(_) => return ProbeOutcome::Unhealthy,
    };
    match ask(stream, path).await {
        Some(true) => ProbeOutcome::Healthy,
        _ => ProbeOutcome::Unhealthy,
    }
}

/// Returns whether the health endpoint reports success; `None` if it gave no answer.
async fn ask(stream: TcpStream, path: &str) -> Option<bool> {
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let mut request = Request::new(Empty::<Bytes>::new());
    *request.uri_mut() = path.parse::<Uri>().ok()?;
    let headers = request.headers_mut();
    headers.insert(HOST, HeaderValue::from_static("localhost"));
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
    let asking = async move {
        let response = sender.send_request(request).await.ok()?;
        let is_sound = ResponseHead::check(&response).is_ok();
        Some(is_sound && response.status().is_success())
    };
    let (result, _) = tokio::join!(asking, connection);
    result
}
