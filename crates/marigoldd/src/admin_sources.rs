//! Implements the data sources of the admin server with the other parts of the daemon.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use marigold_api::{DaemonState, DaemonStatus, MessageKindBytes, Status};
use marigold_config::Trust;
use marigold_control::{ControlPlane, Liveness, MemberStatus, Traffic};
use marigold_request::burn::BurnReport;
use marigold_types::{ByteSize, Version};
use tokio::runtime::Handle;
use tokio::time::Instant;

use crate::admin::{AdminParts, BurnSource, DrainSink, LogSession, MetricsSource, StatusSource};
use crate::peer::QuicPeers;
use crate::{ControlMeters, Metrics, RequestSide, Shared};

/// The parts of a daemon that the admin server queries.
pub struct AdminSources {
    /// The state shared by all parts of the daemon.
    pub shared: Arc<Shared>,
    /// The control plane.
    pub plane: Arc<Mutex<ControlPlane>>,
    /// Connections to other daemons.
    pub peers: Arc<QuicPeers>,
    /// The request path.
    pub requests: Arc<RequestSide>,
}

impl AdminSources {
    /// Returns the parts that the admin server is started with.
    ///
    /// # Panics
    ///
    /// When it is called outside a tokio runtime.
    #[must_use]
    pub fn to_parts(&self, trust: Trust, metrics: Metrics) -> AdminParts {
        let log = Arc::clone(&self.shared.log);
        let attempt = self.shared.settings.log.timeout.duration();
        let metrics = ProcessMetrics {
            metrics,
            peers: Arc::clone(&self.peers),
            plane: Arc::clone(&self.plane),
            requests: Arc::clone(&self.requests),
        };
        AdminParts {
            shared: Arc::clone(&self.shared),
            session: Arc::new(LogSession::new(log, trust.clone(), attempt)),
            trust,
            runtime: Handle::current(),
            status: Arc::new(PlaneStatus(Arc::clone(&self.plane))),
            burn: Arc::clone(&self.requests) as Arc<dyn BurnSource>,
            metrics: Arc::new(metrics),
            drain: Arc::clone(&self.requests) as Arc<dyn DrainSink>,
        }
    }
}

/// Derives the mesh status from the control plane.
struct PlaneStatus(Arc<Mutex<ControlPlane>>);

impl StatusSource for PlaneStatus {
    fn status(&self) -> Status {
        let plane = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let status = plane.status(Instant::now());
        let local = &plane.state().local;
        let alive = |member: &&MemberStatus| member.liveness != Liveness::Dead;
        let mut daemons: Vec<DaemonStatus> = status
            .members
            .iter()
            .filter(alive)
            .map(|member| to_daemon_status(member, status.newest))
            .collect();
        let own = daemons
            .iter_mut()
            .find(|daemon| daemon.instance == status.local);
        if let Some(own) = own {
            own.bytes = bytes_by_kind(&plane);
        }
        Status {
            instance: status.local,
            data_centre: local.data_centre.clone(),
            region: local.region.clone(),
            serving: status.serving,
            draining: local.draining,
            latest: status.newest,
            daemons,
        }
    }
}

fn to_daemon_status(member: &MemberStatus, newest: Version) -> DaemonStatus {
    let version = member.held.unwrap_or_default();
    let state = match (member.draining, member.liveness) {
        (true, _) => DaemonState::Draining,
        (false, Liveness::Alive) => DaemonState::Ready,
        (false, Liveness::Suspect | Liveness::Dead) => DaemonState::Suspect,
    };
    DaemonStatus {
        instance: member.instance,
        data_centre: member.data_centre.clone(),
        service: member.service.clone(),
        state,
        version,
        lag: newest.0.saturating_sub(version.0),
        since: member.lag.unwrap_or(member.since),
        bytes: Vec::new(),
    }
}

fn bytes_by_kind(plane: &ControlPlane) -> Vec<MessageKindBytes> {
    let counters = plane.counters();
    let mut kinds: Vec<&&'static str> = counters.sent.keys().collect();
    kinds.extend(counters.received.keys());
    kinds.sort_unstable();
    kinds.dedup();
    let bytes = |side: &BTreeMap<&'static str, Traffic>, kind| {
        ByteSize(side.get(kind).map_or(0, |traffic| traffic.bytes))
    };
    kinds
        .into_iter()
        .map(|kind| MessageKindBytes {
            kind: Arc::from(*kind),
            sent: bytes(&counters.sent, *kind),
            received: bytes(&counters.received, *kind),
        })
        .collect()
}

impl BurnSource for RequestSide {
    fn burn(&self) -> BurnReport {
        Self::burn(self)
    }
}

impl DrainSink for RequestSide {
    fn drain(&self) {
        // A second signal would exit at once, but a repeated drain command must be idempotent.
        if !self.is_draining() {
            self.signal();
        }
    }
}

/// Renders the process metrics after publishing those that other parts keep themselves.
struct ProcessMetrics {
    metrics: Metrics,
    peers: Arc<QuicPeers>,
    plane: Arc<Mutex<ControlPlane>>,
    requests: Arc<RequestSide>,
}

impl MetricsSource for ProcessMetrics {
    fn render(&self) -> String {
        self.peers.publish_metrics();
        let status = {
            let plane = self.plane.lock().unwrap_or_else(PoisonError::into_inner);
            plane.status(Instant::now())
        };
        let meters = ControlMeters::new(&status);
        meters.publish(&status, self.requests.is_draining());
        meters.publish_requests(self.requests.in_flight());
        self.metrics.render()
    }
}
