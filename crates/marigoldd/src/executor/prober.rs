//! Probes the health of the backend server, which real calls outrank.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Empty;
use hyper::client::conn::http1;
use hyper::header::{CONNECTION, HOST, HeaderValue};
use hyper::{Request, Uri};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{Instant, MissedTickBehavior, interval, timeout};

use super::LocalExecutor;

/// Failed probes in a row after which the backend server counts as unhealthy.
const MAX_FAILED: u32 = 2;
/// How long one probe may take.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a real answer proves that the backend server works.
const PROOF: Duration = Duration::from_secs(3);
/// The path that is probed when the service declares none.
const DEFAULT_PATH: &str = "/health";

/// Asks the backend server's health endpoint again and again.
pub struct Prober {
    executor: Arc<LocalExecutor>,
    failed: u32,
}

impl Prober {
    /// Builds the prober of an executor.
    #[must_use]
    pub fn new(executor: Arc<LocalExecutor>) -> Self {
        Self {
            executor,
            failed: MAX_FAILED,
        }
    }

    /// Probes as long as the daemon runs.
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
                    // Another backend server starts without the failures of the last.
                    self.failed = MAX_FAILED;
                }
            }
            let healthy = self.look().await;
            self.executor.shared.healthy.send_if_modified(|current| {
                let changed = *current != healthy;
                *current = healthy;
                changed
            });
        }
    }

    async fn look(&mut self) -> bool {
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
        if matches!(probed, Ok(Some(true))) {
            self.failed = 0;
        } else {
            self.failed = self.failed.saturating_add(1);
        }
        // Real calls outrank the endpoint, which lags or misleads.
        let answered = self.executor.answered_at();
        let proven = answered.is_some_and(|at| Instant::now().duration_since(at) < PROOF);
        proven || self.failed < MAX_FAILED
    }
}

/// Returns whether the health endpoint says that the backend server works; none when it is silent.
async fn probe(address: SocketAddr, path: &str) -> Option<bool> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let mut request = Request::new(Empty::<Bytes>::new());
    *request.uri_mut() = path.parse::<Uri>().ok()?;
    let headers = request.headers_mut();
    headers.insert(HOST, HeaderValue::from_static("localhost"));
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
    let asking = async move {
        let response = sender.send_request(request).await.ok()?;
        Some(response.status().is_success())
    };
    let (result, _) = tokio::join!(asking, connection);
    result
}
