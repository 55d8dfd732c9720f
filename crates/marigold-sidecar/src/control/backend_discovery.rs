//! Rediscovers the backend server after a restart of the daemon.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use marigold_dispatch::{Announcement, ServingState};
use marigold_types::ServiceName;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use crate::HeaderNames;
use crate::events::{EventLog, Severity};
use crate::executor::{LocalExecutor, ProbeResponse, probe};
use crate::ingress::Ingress;

/// Interval at which the preconditions for a probe are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How long announcements wait for the record of this daemon after its start. Their acknowledgement has to arrive within a
/// second.
const RECORD_TIMEOUT: Duration = Duration::from_millis(700);
/// Delay after a probe that failed or found no healthy backend server.
const PROBE_RETRY_DELAY: Duration = Duration::from_millis(400);
/// The backend server announces itself within two seconds anyway, so further probes gain nothing.
const MAX_PROBES: u32 = 3;

/// Probes the backend server for its identity, so that requests need not wait for its next announcement.
///
/// The probe is sent only if the directory already has a record of this daemon, which means that it has
/// served the backend server before. The record also names an instance that had said that it leaves, whatever it
/// answers now.
pub struct BackendDiscovery {
    /// Address at which the backend server accepts requests.
    pub backend_address: SocketAddr,
    /// Address at which this daemon accepts calls from other daemons.
    pub own_address: SocketAddr,
    /// Service of the instance that this daemon runs on.
    pub service: ServiceName,
    /// Header fields of the probe and its response.
    pub names: Arc<HeaderNames>,
    /// Provides the current route table and the directory of daemons.
    pub ingress: Rc<Ingress>,
    /// Receives the discovered backend server.
    pub executor: Rc<LocalExecutor>,
    /// Log of the discovery's outcome.
    pub events: Rc<EventLog>,
    /// Returns whether the records of all daemons are known.
    pub knows_sites: Rc<dyn Fn() -> bool>,
    /// Whether announcements need not wait for a departure in the record of this daemon any longer.
    pub checked: watch::Sender<bool>,
}

impl BackendDiscovery {
    /// Waits until it is known which instance of the backend server has left, as a delayed announcement does not tell. It ends
    /// soon after the start of the daemon in any case: the records may be unavailable.
    pub async fn departure_checked(&self) {
        let mut checked = self.checked.subscribe();
        // The sender is a field, so it is not dropped meanwhile.
        checked.wait_for(|checked| *checked).await.ok();
    }

    /// Probes until the backend server is known or the probes are used up.
    pub async fn run(self: Rc<Self>) {
        let mut probes = 0;
        self.restore_departure().await;
        self.checked.send_replace(true);
        while !self.executor.knows_backend() && probes < MAX_PROBES {
            sleep(POLL_INTERVAL).await;
            let Some((path, announcement)) = self.probe_parameters() else {
                continue;
            };
            probes += 1;
            match probe(self.backend_address, &path, &self.names).await {
                Ok(ProbeResponse {
                    identity: Some(identity),
                    statement,
                }) if !self.executor.knows_backend() => {
                    self.events.emit(
                        "backend_found",
                        Severity::Info,
                        &[("identity", identity.as_ref().into())],
                    );
                    self.executor.apply_announcement(&Announcement {
                        identity,
                        ..announcement
                    });
                    self.executor.apply_statement(&statement);
                }
                Ok(_) => sleep(PROBE_RETRY_DELAY).await,
                Err(error) => {
                    let cause = error.to_string().into();
                    let event = "backend_not_found";
                    self.events.emit(event, Severity::Info, &[("cause", cause)]);
                    sleep(PROBE_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Waits for the record of this daemon, or until there is none, and restores the departure in it.
    async fn restore_departure(&self) {
        let began = Instant::now();
        loop {
            if began.elapsed() >= RECORD_TIMEOUT {
                self.checked.send_replace(true);
            }
            let record = (self.ingress.mesh)
                .with_directory(|directory| directory.get(self.own_address).cloned());
            if let Some(departure) = record.as_ref().and_then(|site| site.leaving.as_ref()) {
                let identity = departure.identity.to_string().into();
                let fields = [("identity", identity)];
                self.events
                    .emit("departure_restored", Severity::Info, &fields);
                self.executor.restore_departure(departure);
            }
            if record.is_some() || (self.knows_sites)() {
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the health check path and the announcement to make with the identity that the probe returns,
    /// or `None` while the configuration or this daemon's record is missing.
    fn probe_parameters(&self) -> Option<(Arc<str>, Announcement)> {
        let table = self.ingress.table()?;
        let path = table.service(&self.service)?.health_path.clone();
        let site = self
            .ingress
            .mesh
            .with_directory(|directory| directory.get(self.own_address).cloned())?;
        if site.service != self.service {
            return None;
        }
        let announcement = Announcement {
            identity: Arc::from(""),
            started_ms: None,
            sequence: 0,
            service: site.service,
            version: site.version,
            address: self.backend_address,
            slots: site.slots,
            state: ServingState::Ready,
            warmup: Duration::ZERO,
        };
        Some((path, announcement))
    }
}
