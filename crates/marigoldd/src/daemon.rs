//! Starts, runs and stops the parts of one daemon.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use arc_swap::ArcSwap;
use marigold_auth::{AuthError, MeshKey};
use marigold_config::{Config, Trust};
use marigold_control::{ControlPlane, LocalInstance, Status, View};
use marigold_log::PlatformLog;
use marigold_request::burn::BurnReport;
use marigold_request::drain::ExitCode;
use marigold_settings::Settings;
use marigold_types::{Address, Incarnation, InstanceId, SlotCount};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::admin::{AdminError, AdminServer};
use crate::admin_sources::AdminSources;
use crate::announcer::Announcer;
use crate::control_loop::ControlLoop;
use crate::control_options::to_control_options;
use crate::peer::{QuicPeers, Traffic};
use crate::{BackendServer, RequestSide, Secrets, Shared, Sockets};

/// The capacity of the event queue of the control loop; senders wait while it is full.
const EVENT_QUEUE_CAPACITY: usize = 4_096;

/// The inputs that a daemon is started with.
pub struct DaemonParts {
    /// The parsed settings file.
    pub settings: Settings,
    /// The bound sockets.
    pub sockets: Sockets,
    /// The certificates and keys.
    pub secrets: Secrets,
    /// The platform's log, which holds the configuration.
    pub log: Arc<dyn PlatformLog>,
}

/// The reason why a daemon could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A certificate or key is invalid.
    #[error(transparent)]
    Auth(#[from] AuthError),
    /// A socket could not be set up.
    #[error("set up socket: {0}")]
    Socket(#[from] std::io::Error),
    /// The admin server could not start.
    #[error(transparent)]
    Admin(#[from] AdminError),
    /// The metrics recorder could not be installed.
    #[error("install metrics: {0}")]
    Metrics(#[from] metrics_exporter_prometheus::BuildError),
}

/// A running daemon.
pub struct Daemon {
    shared: Arc<Shared>,
    plane: Arc<Mutex<ControlPlane>>,
    peers: Arc<QuicPeers>,
    requests: Arc<RequestSide>,
    admin: AdminServer,
    caller: SocketAddr,
    stop: CancellationToken,
    tasks: TaskTracker,
}

impl Daemon {
    /// Starts a daemon; must be called within a tokio runtime.
    ///
    /// # Errors
    ///
    /// When a certificate, key or socket is not usable; no part of the daemon keeps running.
    pub fn start(parts: DaemonParts) -> Result<Self, StartError> {
        let DaemonParts {
            settings,
            sockets,
            secrets,
            log,
        } = parts;
        let Sockets {
            peer,
            caller,
            admin,
        } = sockets;
        let metrics = crate::Metrics::install()?;

        // The settings may name port 0, so use the port that the system assigned.
        let address = Address(peer.local_addr()?);
        let caller_address = caller.local_addr()?;
        let tls = secrets.to_tls()?;
        let mesh_key = MeshKey::from_file_text(&secrets.mesh_key)?;
        let trust = Trust::new(
            settings.trust.operator.clone(),
            settings.trust.key,
            &mesh_key,
        );

        let local = new_local_instance(&settings, address);
        let (events, event_receiver) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        let silence = settings.request.silence;
        let peers = QuicPeers::start(peer, address, &tls, silence, events.clone())?;
        let plane = new_control_plane(&settings, local.clone(), trust.clone());
        let shared = Arc::new(Shared {
            local: local.instance,
            view: ArcSwap::from_pointee(empty_view(local.instance)),
            server: watch::Sender::new(None),
            healthy: watch::Sender::new(false),
            draining: watch::Sender::new(false),
            log,
            events,
            mesh_key,
            settings,
        });
        let requests = RequestSide::new(Arc::clone(&shared), Arc::clone(&peers));

        let sources = AdminSources {
            shared: Arc::clone(&shared),
            plane: Arc::clone(&plane),
            peers: Arc::clone(&peers),
            requests: Arc::clone(&requests),
        };
        let admin = AdminServer::start(sources.to_parts(trust, metrics), admin)?;
        let daemon = Self {
            shared,
            plane,
            peers,
            requests,
            admin,
            caller: caller_address,
            stop: CancellationToken::new(),
            tasks: TaskTracker::new(),
        };
        daemon.run(event_receiver, caller)?;
        spdlog::info!(
            "{} started, listening for callers at {caller_address}",
            daemon.shared.local
        );
        Ok(daemon)
    }

    /// Returns this daemon's instance: its address and incarnation.
    #[must_use]
    pub fn instance(&self) -> InstanceId {
        self.shared.local
    }

    /// Returns the address on which the daemon listens for callers.
    #[must_use]
    pub fn caller_address(&self) -> SocketAddr {
        self.caller
    }

    /// Returns the address on which the daemon listens for operators.
    #[must_use]
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Registers a backend server as if it had announced itself; the announcement never expires.
    pub fn announce(&self, server: BackendServer) {
        self.shared.server.send_replace(Some(server));
    }

    /// Returns the snapshot that the request path currently reads.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        self.shared.view.load_full()
    }

    /// Returns the status of the control plane.
    #[must_use]
    pub fn status(&self) -> Status {
        lock(&self.plane).status(Instant::now())
    }

    /// Returns the traffic of the connections to other daemons.
    #[must_use]
    pub fn traffic(&self) -> Traffic {
        self.peers.traffic()
    }

    /// Returns this daemon's part of the report on error budget burn.
    #[must_use]
    pub fn burn(&self) -> BurnReport {
        self.requests.burn()
    }

    /// Handles a shutdown signal: the first starts a drain, a second exits at once.
    pub fn signal(&self) {
        self.requests.signal();
    }

    /// Waits until a drain is started by a signal or an operator.
    pub async fn wait_for_drain(&self) {
        let mut draining = self.shared.draining.subscribe();
        // The sender lives as long as the daemon, so this cannot fail.
        let _ = draining.wait_for(|draining| *draining).await;
    }

    /// Shuts down gracefully: waits for requests in flight, for at most the setting `drain`.
    pub async fn stop(&self) -> ExitCode {
        if !*self.shared.draining.borrow() {
            self.signal();
        }
        let code = self.requests.drain().await;
        self.stop.cancel();
        self.peers.close().await;
        spdlog::info!("{} stopped: {code:?}", self.shared.local);
        code
    }

    /// Stops abruptly, as a crashed process would; for tests and stand-ins.
    pub fn abort(&self) {
        self.stop.cancel();
        self.requests.abort();
        self.admin.close();
        self.peers.abort();
    }

    fn run(
        &self,
        event_receiver: mpsc::Receiver<marigold_control::Event>,
        caller: std::net::TcpListener,
    ) -> Result<(), StartError> {
        caller.set_nonblocking(true)?;
        let listener = TcpListener::from_std(caller)?;
        let control = ControlLoop::new(
            Arc::clone(&self.plane),
            Arc::clone(&self.shared),
            Arc::clone(&self.peers) as Arc<dyn crate::peer::PeerSender>,
            event_receiver,
        );
        self.tasks.spawn(control.run(self.stop.clone()));
        self.tasks
            .spawn(Announcer::new(Arc::clone(&self.shared)).run(self.stop.clone()));
        let requests = Arc::clone(&self.requests).run(listener);
        let stop = self.stop.clone();
        self.tasks
            .spawn(async move { stop.run_until_cancelled(requests).await });
        Ok(())
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

fn new_local_instance(settings: &Settings, address: Address) -> LocalInstance {
    // The wall clock gives a restarted daemon a higher incarnation. If the clock was set back,
    // peers refute the incarnation.
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let millis = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
    LocalInstance {
        instance: InstanceId {
            address,
            incarnation: Incarnation(millis),
        },
        data_centre: settings.daemon.data_centre.clone(),
        region: settings.daemon.region.clone(),
        service: None,
        slots: SlotCount(0),
        healthy: false,
        draining: false,
    }
}

fn new_control_plane(
    settings: &Settings,
    local: LocalInstance,
    trust: Trust,
) -> Arc<Mutex<ControlPlane>> {
    let options = to_control_options(&settings.control);
    let seeds = settings.peers.seeds.clone();
    let plane = ControlPlane::new(local, options, trust, seeds, rand::random(), Instant::now());
    Arc::new(Mutex::new(plane))
}

fn empty_view(local: InstanceId) -> View {
    View::new(local, false, Arc::new(Config::default()), BTreeMap::new())
}

fn lock(plane: &Mutex<ControlPlane>) -> MutexGuard<'_, ControlPlane> {
    plane.lock().unwrap_or_else(PoisonError::into_inner)
}
