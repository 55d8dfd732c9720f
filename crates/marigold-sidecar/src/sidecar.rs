//! Starts the components of the sidecar and runs them until shutdown.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use marigold_dispatch::{RelaySelector, ShutdownStage};
use marigold_log::{KeyedStore, TableName};
use marigold_types::ServiceName;
use metrics_exporter_prometheus::PrometheusHandle;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

use crate::control::{
    BackendDiscovery, ConfigSource, ControlParts, ControlProtocol, ControlServer, DaemonLocation,
    ReadinessCheck, Relay, RelayParts, RolloutFormat, RolloutParts, Rollouts, ServiceCheck,
    SitePublisher,
};
use crate::events::{EventLog, Severity};
use crate::executor::{ExecutorOptions, LocalExecutor};
use crate::ingress::{Ingress, IngressOptions, Mesh, MeshOptions, Tuning, listen};
use crate::link::LinkServer;
use crate::settings::{ListenSettings, Settings};
use crate::{CrashTracker, HeaderNames, MemoryBudget};

/// Backlog of listening sockets, in connections.
const LISTEN_BACKLOG: u32 = 1024;
/// Interval at which the stage of a shutdown is checked.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which the settings file is checked for changes, besides on `SIGHUP`.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which samples of histograms are merged. The recorder keeps each of them until then.
const METRICS_UPKEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Time limit for deleting this daemon's record from the store at shutdown.
const WITHDRAW_TIMEOUT: Duration = Duration::from_secs(1);
/// Descriptors for each four of the limit that connections of callers may take.
const CALLER_DESCRIPTORS_OF_FOUR: usize = 3;

/// Platform-specific dependencies of a sidecar.
pub struct Adapter {
    /// Names of header fields with a special meaning.
    pub names: Arc<HeaderNames>,
    /// Decodes requests to the daemon itself.
    pub protocol: Rc<dyn ControlProtocol>,
    /// Location and format of the configuration.
    pub config_source: Rc<dyn ConfigSource>,
    /// Format of roll-outs.
    pub rollout_format: Rc<dyn RolloutFormat>,
    /// Table with the records of daemons.
    pub site_table: TableName,
    /// Creates a client of the store at an address.
    pub store: fn(SocketAddr) -> Rc<dyn KeyedStore>,
}

/// A sidecar could not start.
#[derive(Debug, thiserror::Error)]
pub enum SidecarError {
    /// The settings file cannot be read.
    #[error("failed to read {path}: {error}")]
    Unreadable {
        /// The settings file.
        path: PathBuf,
        /// The underlying error.
        error: io::Error,
    },
    /// The settings are invalid.
    #[error("{0}")]
    Settings(marigold_ini::Faults),
    /// A listening socket cannot be opened.
    #[error("failed to listen on {address} for {purpose}: {error}")]
    Listen {
        /// The address from the settings.
        address: SocketAddr,
        /// What the socket is for, as named in the settings.
        purpose: &'static str,
        /// The underlying error.
        error: io::Error,
    },
    /// A signal handler cannot be installed.
    #[error("failed to install a signal handler: {0}")]
    Signal(io::Error),
}

/// Reads and validates the settings file at `path`.
///
/// # Errors
///
/// If the file cannot be read or is invalid.
pub fn load_settings(path: &Path) -> Result<Settings, SidecarError> {
    let text = std::fs::read_to_string(path).map_err(|error| SidecarError::Unreadable {
        path: path.to_owned(),
        error,
    })?;
    Settings::parse(&path.display().to_string(), &text).map_err(SidecarError::Settings)
}

/// Runs a sidecar until `SIGTERM`. Must be called within a [`tokio::task::LocalSet`].
///
/// # Errors
///
/// If the settings are invalid, or a socket or signal handler cannot be set up.
pub async fn run(
    path: PathBuf,
    adapter: Adapter,
    metrics: PrometheusHandle,
) -> Result<(), SidecarError> {
    let settings = load_settings(&path)?;
    let events = Rc::new(EventLog::new(
        settings.instance.name.clone(),
        spdlog::default_logger(),
    ));
    // Tells this run of the daemon apart from earlier ones at the same address.
    let run_id: u64 = rand::random();
    events.emit(
        "started",
        Severity::Info,
        &[
            ("version", env!("CARGO_PKG_VERSION").into()),
            ("life", run_id.into()),
            ("service", settings.instance.service.to_string().into()),
            (
                "data_centre",
                settings.instance.data_centre.to_string().into(),
            ),
            ("wait", settings.decisions.wait.to_string().into()),
            ("loss_cost", settings.decisions.loss_cost.to_string().into()),
        ],
    );
    let components = start(&settings, &adapter, &events, run_id, metrics)?;
    let mut sigterm = signal(SignalKind::terminate()).map_err(SidecarError::Signal)?;
    let mut sighup = signal(SignalKind::hangup()).map_err(SidecarError::Signal)?;
    let mut current = settings;
    loop {
        let cause = tokio::select! {
            _ = sigterm.recv() => break,
            _ = sighup.recv() => "signal",
            () = sleep(SETTINGS_POLL_INTERVAL) => "look",
        };
        reload_settings(&path, &mut current, cause, &components, &events);
    }
    shut_down(&components, &current, &events).await;
    Ok(())
}

/// The components that settings changes and the shutdown act on.
struct Components {
    ingress: Rc<Ingress>,
    executor: Rc<LocalExecutor>,
    publisher: Rc<SitePublisher>,
}

/// All listening sockets, bound before any component starts.
struct Sockets {
    callers: TcpListener,
    daemons: TcpListener,
    readiness: TcpListener,
    announcements: TcpListener,
    metrics: Option<TcpListener>,
}

impl Sockets {
    fn bind(listen: &ListenSettings) -> Result<Self, SidecarError> {
        let metrics = listen.metrics.map(|address| bind(address, "metrics"));
        Ok(Self {
            callers: bind(listen.callers, "callers")?,
            daemons: bind(listen.daemons, "daemons")?,
            readiness: bind(listen.readiness, "readiness")?,
            announcements: bind(listen.announcements, "announcements")?,
            metrics: metrics.transpose()?,
        })
    }
}

fn start(
    settings: &Settings,
    adapter: &Adapter,
    events: &Rc<EventLog>,
    run_id: u64,
    metrics: PrometheusHandle,
) -> Result<Components, SidecarError> {
    let sockets = Sockets::bind(&settings.listen)?;
    let store = (adapter.store)(settings.store);
    let crashes = CrashTracker::new(settings.listen.daemons, run_id, events.clone());
    let memory = MemoryBudget::for_process(settings.instance.memory);
    let mesh = build_mesh(settings, run_id, &memory, &crashes, events);
    let ingress = build_ingress(settings, adapter, &memory, &mesh, events);
    let executor = build_executor(settings, adapter, &ingress, events);
    let server = LinkServer::new(run_id, executor.clone());
    executor.set_link_server(&server);
    crashes.set_link_server(&server);
    server.set_memory(&memory);
    mesh.set_handover(server.handover().clone());
    let rollouts = Rollouts::new(RolloutParts {
        store: store.clone(),
        format: adapter.rollout_format.clone(),
        own: settings.listen.daemons,
        mesh: mesh.clone(),
        server: Rc::downgrade(&server),
        events: events.clone(),
    });
    let relay = Relay::new(
        RelayParts {
            rollouts: rollouts.clone(),
            store: store.clone(),
            config_source: adapter.config_source.clone(),
            site_table: adapter.site_table.clone(),
            ingress: ingress.clone(),
            mesh: mesh.clone(),
            server: Rc::downgrade(&server),
            events: events.clone(),
        },
        RelaySelector::new(
            settings.listen.daemons,
            settings.instance.data_centre.clone(),
        ),
    );
    server.set_store_sync(relay.clone());
    server.set_quotas(mesh.quotas.clone());
    let publisher = Rc::new(SitePublisher::new(
        store,
        adapter.site_table.clone(),
        DaemonLocation {
            address: settings.listen.daemons,
            data_centre: settings.instance.data_centre.clone(),
            link: settings.instance.link,
        },
        executor.clone(),
        mesh,
        events.clone(),
    ));
    let discovery = Rc::new(BackendDiscovery {
        backend_address: settings.instance.backend_server,
        own_address: settings.listen.daemons,
        service: settings.instance.service.clone(),
        names: adapter.names.clone(),
        ingress: ingress.clone(),
        executor: executor.clone(),
        events: events.clone(),
        knows_sites: {
            let relay = relay.clone();
            Rc::new(move || relay.knows_sites())
        },
        checked: watch::Sender::new(false),
    });
    let control = ControlServer::new(
        adapter.protocol.clone(),
        ControlParts {
            executor: executor.clone(),
            publisher: publisher.clone(),
            discovery: discovery.clone(),
            events: events.clone(),
            is_ready: readiness_check(&ingress, &relay),
            is_named: service_check(&ingress, &settings.instance.service),
            metrics: metrics.clone(),
        },
    );

    tokio::task::spawn_local(merge_samples(metrics));
    relay.start();
    rollouts.start();
    tokio::task::spawn_local(discovery.run());
    tokio::task::spawn_local(publisher.clone().run());
    tokio::task::spawn_local(executor.clone().run_maintenance());
    tokio::task::spawn_local(server.listen(sockets.daemons));
    tokio::task::spawn_local(control.clone().listen(sockets.readiness));
    tokio::task::spawn_local(control.clone().listen(sockets.announcements));
    if let Some(listener) = sockets.metrics {
        tokio::task::spawn_local(control.listen(listener));
    }
    tokio::task::spawn_local(listen(ingress.clone(), sockets.callers));
    Ok(Components {
        ingress,
        executor,
        publisher,
    })
}

/// Bounds the memory of metrics that nobody fetches, until the task is dropped.
async fn merge_samples(metrics: PrometheusHandle) {
    loop {
        sleep(METRICS_UPKEEP_INTERVAL).await;
        metrics.run_upkeep();
    }
}

fn readiness_check(ingress: &Rc<Ingress>, relay: &Rc<Relay>) -> ReadinessCheck {
    let (ingress, relay) = (ingress.clone(), relay.clone());
    Rc::new(move || {
        let is_synced = ingress.table().is_some() && relay.knows_sites();
        is_synced && !ingress.lifecycle.is_stopping()
    })
}

fn service_check(ingress: &Rc<Ingress>, own: &ServiceName) -> ServiceCheck {
    let (ingress, own) = (ingress.clone(), own.clone());
    Rc::new(move |service| {
        let is_configured = || {
            let table = ingress.table();
            table.is_some_and(|table| table.service(service).is_some())
        };
        *service == own || is_configured()
    })
}

fn build_mesh(
    settings: &Settings,
    run_id: u64,
    memory: &Rc<MemoryBudget>,
    crashes: &Rc<CrashTracker>,
    events: &Rc<EventLog>,
) -> Rc<Mesh> {
    let options = MeshOptions {
        address: settings.listen.daemons,
        data_centre: settings.instance.data_centre.clone(),
        tuning: mesh_tuning(settings),
        memory: memory.clone(),
    };
    let rng = SmallRng::seed_from_u64(run_id);
    Mesh::new(&options, rng, crashes.clone(), events.clone())
}

fn mesh_tuning(settings: &Settings) -> Tuning {
    Tuning {
        byte_cost: settings.routing.byte_cost,
        decisions: settings.decisions,
        retry_ratio: settings.bounds.retry_ratio,
        retry_slack: settings.bounds.retry_slack,
        retry_window: settings.bounds.retry_window,
    }
}

fn build_ingress(
    settings: &Settings,
    adapter: &Adapter,
    memory: &Rc<MemoryBudget>,
    mesh: &Rc<Mesh>,
    events: &Rc<EventLog>,
) -> Rc<Ingress> {
    let options = IngressOptions {
        names: adapter.names.clone(),
        origin: settings.instance.service.clone(),
        grace: settings.bounds.grace,
        memory: memory.clone(),
        max_callers: settings.instance.descriptors / 4 * CALLER_DESCRIPTORS_OF_FOUR,
    };
    let ingress = Ingress::new(options, mesh.clone(), events.clone());
    ingress.freshness.set_max_age(settings.bounds.revocation);
    ingress
}

fn build_executor(
    settings: &Settings,
    adapter: &Adapter,
    ingress: &Rc<Ingress>,
    events: &Rc<EventLog>,
) -> Rc<LocalExecutor> {
    let options = ExecutorOptions {
        lifecycle: ingress.lifecycle.clone(),
        memory: ingress.options.memory.clone(),
        ..ExecutorOptions::new(adapter.names.clone(), settings.instance.memory.0)
    };
    let executor = LocalExecutor::new(options, ingress.mesh.crashes.clone(), events.clone());
    let newest_seen_version = ingress.newest_seen_version.clone();
    executor.set_version_listener(Box::new(move |version| {
        newest_seen_version.send_if_modified(|newest| {
            let is_newer = version > *newest;
            *newest = version.max(*newest);
            is_newer
        });
    }));
    let (ingress, service) = (ingress.clone(), settings.instance.service.clone());
    executor.set_health_path(Box::new(move || {
        let table = ingress.table()?;
        Some(table.service(&service)?.health_path.clone())
    }));
    executor
}

fn bind(address: SocketAddr, purpose: &'static str) -> Result<TcpListener, SidecarError> {
    let open = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)
    };
    open().map_err(|error| SidecarError::Listen {
        address,
        purpose,
        error,
    })
}

/// Reads the settings again, applies those that can change at run time, and logs whether the rest needs a
/// restart.
fn reload_settings(
    path: &Path,
    current: &mut Settings,
    cause: &'static str,
    components: &Components,
    events: &EventLog,
) {
    match load_settings(path) {
        Ok(settings) if settings == *current => {}
        Ok(settings) => {
            components.ingress.mesh.tune(mesh_tuning(&settings));
            components
                .ingress
                .lifecycle
                .set_grace(settings.bounds.grace);
            let freshness = &components.ingress.freshness;
            freshness.set_max_age(settings.bounds.revocation);
            let is_fully_applied = (&settings.instance, &settings.listen, settings.store)
                == (&current.instance, &current.listen, current.store);
            let in_force = if is_fully_applied {
                "now"
            } else {
                "after a restart"
            };
            events.emit(
                "settings_changed",
                Severity::Info,
                &[("cause", cause.into()), ("in_force", in_force.into())],
            );
            *current = settings;
        }
        Err(error) => events.emit(
            "settings_refused",
            Severity::Warn,
            &[("cause", error.to_string().into())],
        ),
    }
}

async fn shut_down(components: &Components, settings: &Settings, events: &EventLog) {
    events.emit("stopping", Severity::Info, &[]);
    let lifecycle = &components.ingress.lifecycle;
    lifecycle.begin_shutdown();
    let began = Instant::now();
    loop {
        match lifecycle.stage() {
            // Requests are still accepted until callers have switched to other daemons: if only the
            // daemon restarts, the backend server keeps running.
            ShutdownStage::Serving | ShutdownStage::Draining => {}
            // Other daemons have other executors, while callers of this one may have no other ingress.
            ShutdownStage::Finishing | ShutdownStage::Refusing | ShutdownStage::Concluding => {
                components.executor.close();
                lifecycle.record_closed();
            }
            ShutdownStage::Ended => break,
        }
        sleep(SHUTDOWN_POLL_INTERVAL).await;
    }
    let time_left = settings.bounds.grace.saturating_sub(began.elapsed());
    let withdrawal = withdraw_record(components, settings.instance.backend_server);
    let withdrawal = timeout(time_left.min(WITHDRAW_TIMEOUT), withdrawal).await;
    let took_ms = u64::try_from(began.elapsed().as_millis()).unwrap_or(u64::MAX);
    events.emit(
        "stopped",
        Severity::Info,
        &[
            ("took_ms", took_ms.into()),
            ("open_requests", components.ingress.in_flight().into()),
            ("open_calls", components.executor.in_flight().into()),
            ("record_deleted", withdrawal.unwrap_or(false).into()),
        ],
    );
}

/// Deletes this daemon's record if its backend server has left and ended; returns whether it did.
///
/// The record of one that is still at work stays: it tells a daemon that starts again that this backend server leaves, and
/// other daemons that calls to it may be running.
async fn withdraw_record(components: &Components, backend_server: SocketAddr) -> bool {
    let executor = &components.executor;
    let has_left = executor.leaving().is_some() || !executor.knows_backend();
    if !has_left || executor.in_flight() > 0 {
        return false;
    }
    let result = TcpStream::connect(backend_server).await;
    let has_ended = result.is_err_and(|error| error.kind() == io::ErrorKind::ConnectionRefused);
    has_ended && components.publisher.withdraw().await
}
