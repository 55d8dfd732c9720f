//! One daemon: sets up its parts, runs them, and ends them.

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
use crate::control_options::options_of;
use crate::peer::{QuicPeers, Traffic};
use crate::{BackendServer, RequestSide, Secrets, Shared, Sockets};

/// Events that may wait for the control loop; senders wait beyond it.
const EVENT_QUEUE: usize = 4_096;

/// What a daemon is made of.
pub struct DaemonParts {
    /// Its settings.
    pub settings: Settings,
    /// Its bound sockets.
    pub sockets: Sockets,
    /// Its certificates and keys.
    pub secrets: Secrets,
    /// The platform's log.
    pub log: Arc<dyn PlatformLog>,
}

/// Why a daemon could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A certificate or key is not usable.
    #[error(transparent)]
    Auth(#[from] AuthError),
    /// A socket is not usable.
    #[error("take over socket: {0}")]
    Socket(#[from] std::io::Error),
    /// The operators' side could not start.
    #[error(transparent)]
    Admin(#[from] AdminError),
    /// The metrics of the process could not be set up.
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
    /// Starts a daemon; it must be called within a tokio runtime.
    ///
    /// # Errors
    ///
    /// When a certificate, key or socket is not usable; nothing runs then.
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

        // The port that the system chose goes for the one in the settings.
        let address = Address(peer.local_addr()?);
        let caller_address = caller.local_addr()?;
        let tls = secrets.to_tls()?;
        let mesh_key = MeshKey::from_file_text(&secrets.mesh_key)?;
        let trust = Trust::new(
            settings.trust.operator.clone(),
            settings.trust.key,
            &mesh_key,
        );

        let local = start_local(&settings, address);
        let (events, inbox) = mpsc::channel(EVENT_QUEUE);
        let silence = settings.request.silence;
        let peers = QuicPeers::start(peer, address, &tls, silence, events.clone())?;
        let plane = start_plane(&settings, local.clone(), trust.clone());
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
        daemon.run(inbox, caller)?;
        spdlog::info!(
            "{} started for callers at {caller_address}",
            daemon.shared.local
        );
        Ok(daemon)
    }

    /// Returns the daemon's own life.
    #[must_use]
    pub fn instance(&self) -> InstanceId {
        self.shared.local
    }

    /// Returns where it listens for callers.
    #[must_use]
    pub fn caller_address(&self) -> SocketAddr {
        self.caller
    }

    /// Returns where it listens for operators.
    #[must_use]
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Takes a backend server in, as if it had announced itself and never fell silent.
    pub fn announce(&self, server: BackendServer) {
        self.shared.server.send_replace(Some(server));
    }

    /// Returns the snapshot that its request path reads.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        self.shared.view.load_full()
    }

    /// Returns what operators are told.
    #[must_use]
    pub fn status(&self) -> Status {
        lock(&self.plane).status(Instant::now())
    }

    /// Returns the bytes of its connections to other daemons.
    #[must_use]
    pub fn traffic(&self) -> Traffic {
        self.peers.traffic()
    }

    /// Returns its part of the report on service-level burn.
    #[must_use]
    pub fn burn(&self) -> BurnReport {
        self.requests.burn()
    }

    /// Takes a signal to end: new work stops, and a second signal ends the wait for the rest.
    pub fn signal(&self) {
        self.requests.signal();
    }

    /// Waits until a shutdown begins, by a signal or an operator.
    pub async fn leaving(&self) {
        let mut draining = self.shared.draining.subscribe();
        // The sender lives as long as the daemon.
        let _ = draining.wait_for(|draining| *draining).await;
    }

    /// Shuts down gracefully: what is in flight ends first, within the setting `drain`.
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

    /// Ends without a word, as a process that dies; for tests and stand-ins.
    pub fn abort(&self) {
        self.stop.cancel();
        self.requests.abort();
        self.admin.close();
        self.peers.abort();
    }

    fn run(
        &self,
        inbox: mpsc::Receiver<marigold_control::Event>,
        caller: std::net::TcpListener,
    ) -> Result<(), StartError> {
        caller.set_nonblocking(true)?;
        let listener = TcpListener::from_std(caller)?;
        let control = ControlLoop::new(
            Arc::clone(&self.plane),
            Arc::clone(&self.shared),
            Arc::clone(&self.peers) as Arc<dyn crate::peer::PeerSender>,
            inbox,
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

fn start_local(settings: &Settings, address: Address) -> LocalInstance {
    // The wall clock makes a restart a later life; peers refute it if the clock stepped back.
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

fn start_plane(
    settings: &Settings,
    local: LocalInstance,
    trust: Trust,
) -> Arc<Mutex<ControlPlane>> {
    let options = options_of(&settings.control);
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
