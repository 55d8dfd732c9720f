//! Joins the parts of one sidecar and runs them to their end.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use marigold_dispatch::{RelaySelector, ShutdownStage};
use marigold_log::{KeyedStore, TableName};
use metrics_exporter_prometheus::PrometheusHandle;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{Instant, sleep, timeout};

use crate::HeaderNames;
use crate::control::{
    BackendDiscovery, ConfigSource, ControlProtocol, ControlServer, DaemonLocation, Relay,
    RelayParts, SitePublisher,
};
use crate::events::{EventLog, Severity};
use crate::executor::{LocalExecutor, LocalOptions};
use crate::ingress::{Ingress, IngressOptions, Mesh, MeshOptions, Tuning, listen};
use crate::link::LinkServer;
use crate::settings::{ListenSettings, Settings};

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;
/// How often a shutdown is moved on.
const SHUTDOWN_TICK: Duration = Duration::from_millis(50);
/// How often the settings file is looked at for changes without a signal.
const SETTINGS_TICK: Duration = Duration::from_secs(1);
/// How long the end may wait for the store.
const WITHDRAW_TIMEOUT: Duration = Duration::from_secs(1);
/// The part of the memory that bodies of requests, and one answer, may take.
const BODY_PART: u64 = 4;

/// What the platform's adapter brings.
pub struct Adapter {
    /// The header fields that have a meaning.
    pub names: Arc<HeaderNames>,
    /// Decodes calls to the daemon.
    pub protocol: Rc<dyn ControlProtocol>,
    /// Where the configuration is.
    pub config_source: Rc<dyn ConfigSource>,
    /// The table in which daemons find each other.
    pub site_table: TableName,
    /// Builds the client of the store at an address.
    pub store: fn(SocketAddr) -> Rc<dyn KeyedStore>,
}

/// A sidecar could not run.
#[derive(Debug, thiserror::Error)]
pub enum SidecarError {
    /// The settings file cannot be read.
    #[error("reading {path}: {error}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        error: io::Error,
    },
    /// The settings are wrong.
    #[error("{0}")]
    Settings(marigold_ini::Faults),
    /// An address cannot be listened at.
    #[error("listening at {address} for {purpose}: {error}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What it is for.
        purpose: &'static str,
        /// Why.
        error: io::Error,
    },
    /// A signal handler cannot be set.
    #[error("handling signals: {0}")]
    Signal(io::Error),
}

/// Reads the settings at `path`.
///
/// # Errors
///
/// When the file cannot be read or is wrong.
pub fn load_settings(path: &Path) -> Result<Settings, SidecarError> {
    let text = std::fs::read_to_string(path).map_err(|error| SidecarError::Unreadable {
        path: path.to_owned(),
        error,
    })?;
    Settings::parse(&path.display().to_string(), &text).map_err(SidecarError::Settings)
}

/// Runs a sidecar until it is asked to end; must be called inside a local task set.
///
/// # Errors
///
/// When the settings are wrong or an address cannot be listened at.
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
    let life: u64 = rand::random();
    events.emit(
        "started",
        Severity::Info,
        &[
            ("version", env!("CARGO_PKG_VERSION").into()),
            ("life", life.into()),
            ("service", settings.instance.service.to_string().into()),
            (
                "data_centre",
                settings.instance.data_centre.to_string().into(),
            ),
        ],
    );
    let parts = start(&settings, &adapter, &events, life, metrics)?;
    let mut term = signal(SignalKind::terminate()).map_err(SidecarError::Signal)?;
    let mut hup = signal(SignalKind::hangup()).map_err(SidecarError::Signal)?;
    let mut known = settings;
    loop {
        let cause = tokio::select! {
            _ = term.recv() => break,
            _ = hup.recv() => "signal",
            () = sleep(SETTINGS_TICK) => "look",
        };
        reload(&path, &mut known, cause, &parts, &events);
    }
    end(&parts, &events).await;
    Ok(())
}

/// The parts that a shutdown needs.
struct Parts {
    ingress: Rc<Ingress>,
    executor: Rc<LocalExecutor>,
    publisher: Rc<SitePublisher>,
}

/// Every address that the daemon listens at, before anything is started.
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
    life: u64,
    metrics: PrometheusHandle,
) -> Result<Parts, SidecarError> {
    let sockets = Sockets::bind(&settings.listen)?;
    let store = (adapter.store)(settings.store);
    let mesh = build_mesh(settings, life, events);
    let ingress = build_ingress(settings, adapter, &mesh, events);
    let executor = build_executor(settings, adapter, &ingress, events);
    let server = LinkServer::new(life, executor.clone());
    executor.attach(&server);
    let relay = Relay::new(
        RelayParts {
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
    let is_ready = {
        let (ingress, relay) = (ingress.clone(), relay.clone());
        Rc::new(move || {
            let knows = ingress.table().is_some() && relay.knows_sites();
            knows && ingress.stage(0) == ShutdownStage::Serving
        })
    };
    let control = ControlServer::new(
        adapter.protocol.clone(),
        executor.clone(),
        events.clone(),
        is_ready,
        metrics,
    );

    let finder = BackendDiscovery {
        backend_address: settings.instance.backend_server,
        own_address: settings.listen.daemons,
        service: settings.instance.service.clone(),
        names: adapter.names.clone(),
        ingress: ingress.clone(),
        executor: executor.clone(),
        events: events.clone(),
    };

    relay.start();
    tokio::task::spawn_local(finder.run());
    tokio::task::spawn_local(publisher.clone().run());
    tokio::task::spawn_local(executor.clone().upkeep());
    tokio::task::spawn_local(server.listen(sockets.daemons));
    tokio::task::spawn_local(control.clone().listen(sockets.readiness));
    tokio::task::spawn_local(control.clone().listen(sockets.announcements));
    if let Some(listener) = sockets.metrics {
        tokio::task::spawn_local(control.listen(listener));
    }
    tokio::task::spawn_local(listen(ingress.clone(), sockets.callers));
    Ok(Parts {
        ingress,
        executor,
        publisher,
    })
}

fn build_mesh(settings: &Settings, life: u64, events: &Rc<EventLog>) -> Rc<Mesh> {
    let options = MeshOptions {
        address: settings.listen.daemons,
        data_centre: settings.instance.data_centre.clone(),
        tuning: tuning(settings),
    };
    Mesh::new(&options, SmallRng::seed_from_u64(life), events.clone())
}

fn tuning(settings: &Settings) -> Tuning {
    Tuning {
        byte_cost: settings.routing.byte_cost,
        retry_ratio: settings.bounds.retry_ratio,
        retry_slack: settings.bounds.retry_slack,
        retry_window: settings.bounds.retry_window,
    }
}

fn build_ingress(
    settings: &Settings,
    adapter: &Adapter,
    mesh: &Rc<Mesh>,
    events: &Rc<EventLog>,
) -> Rc<Ingress> {
    let body_budget_bytes = settings.instance.memory.0 / BODY_PART;
    let options = IngressOptions {
        names: adapter.names.clone(),
        origin: settings.instance.service.clone(),
        grace: settings.bounds.grace,
        body_budget_bytes: usize::try_from(body_budget_bytes).unwrap_or(usize::MAX),
    };
    Ingress::new(options, mesh.clone(), events.clone())
}

fn build_executor(
    settings: &Settings,
    adapter: &Adapter,
    ingress: &Rc<Ingress>,
    events: &Rc<EventLog>,
) -> Rc<LocalExecutor> {
    let options = LocalOptions {
        names: adapter.names.clone(),
        answer_limit: settings.instance.memory.0 / BODY_PART,
    };
    let executor = LocalExecutor::new(options, events.clone());
    let wanted = ingress.newest_seen_version.clone();
    executor.on_version(Box::new(move |version| {
        wanted.send_if_modified(|newest| {
            let is_newer = version > *newest;
            *newest = version.max(*newest);
            is_newer
        });
    }));
    executor
}

fn bind(address: SocketAddr, purpose: &'static str) -> Result<TcpListener, SidecarError> {
    let open = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    open().map_err(|error| SidecarError::Listen {
        address,
        purpose,
        error,
    })
}

/// Reads the settings again, puts in force what can change while the daemon runs, and tells whether the
/// rest takes a restart.
fn reload(
    path: &Path,
    known: &mut Settings,
    cause: &'static str,
    parts: &Parts,
    events: &EventLog,
) {
    match load_settings(path) {
        Ok(settings) if settings == *known => {}
        Ok(settings) => {
            parts.ingress.mesh.tune(tuning(&settings));
            parts.ingress.set_grace(settings.bounds.grace);
            let is_whole = (&settings.instance, &settings.listen, settings.store)
                == (&known.instance, &known.listen, known.store);
            let in_force = if is_whole { "now" } else { "after a restart" };
            events.emit(
                "settings_changed",
                Severity::Info,
                &[("cause", cause.into()), ("in_force", in_force.into())],
            );
            *known = settings;
        }
        Err(error) => events.emit(
            "settings_refused",
            Severity::Warn,
            &[("cause", error.to_string().into())],
        ),
    }
}

async fn end(parts: &Parts, events: &EventLog) {
    events.emit("stopping", Severity::Info, &[]);
    let has_left = parts.executor.serving().is_none();
    parts.ingress.begin_shutdown();
    let began = Instant::now();
    if has_left {
        timeout(WITHDRAW_TIMEOUT, parts.publisher.withdraw())
            .await
            .ok();
    }
    loop {
        match parts.ingress.stage(parts.executor.in_flight()) {
            // Until callers have gone elsewhere the backend server serves on: it stays when the daemon
            // is only started again.
            ShutdownStage::Serving | ShutdownStage::Draining => {}
            ShutdownStage::Refusing => parts.executor.close(),
            ShutdownStage::Ended => break,
        }
        sleep(SHUTDOWN_TICK).await;
    }
    let took_ms = u64::try_from(began.elapsed().as_millis()).unwrap_or(u64::MAX);
    events.emit(
        "stopped",
        Severity::Info,
        &[
            ("took_ms", took_ms.into()),
            ("open_requests", parts.ingress.in_flight().into()),
            ("open_calls", parts.executor.in_flight().into()),
        ],
    );
}
