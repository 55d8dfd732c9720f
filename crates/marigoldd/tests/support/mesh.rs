//! Daemons that share one authority and one configuration.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

use arc_swap::ArcSwap;
use async_trait::async_trait;
use marigold_auth::{Authority, MeshKey};
use marigold_config::{Config, Declaration, Resource, Route, Service};
use marigold_control::{Endpoint, EndpointState, Event, View};
use marigold_log::{Appended, Batch, LogError, PlatformLog, StreamName};
use marigold_request::drain::ExitCode;
use marigold_settings::Settings;
use marigold_types::{
    Address, Class, Incarnation, InstanceId, Interval, LogOffset, SlotCount, Version,
};
use marigoldd::peer::{PeerTls, QuicPeers};
use marigoldd::{BackendServer, RequestSide, Shared};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use super::{Backend, Relay};

pub const SERVICE: &str = "desk";
const MESH_KEY: [u8; 32] = [7; 32];
const EVENT_QUEUE_LEN: usize = 64;

/// A log that fails the test when used: the request path must not depend on the log.
struct NoLog;

#[async_trait]
impl PlatformLog for NoLog {
    async fn append(&self, _: StreamName, _: String, _: Instant) -> Result<Appended, LogError> {
        panic!("the request path used the log")
    }

    async fn read(
        &self,
        _: StreamName,
        _: LogOffset,
        _: usize,
        _: Instant,
    ) -> Result<Batch, LogError> {
        panic!("the request path used the log")
    }
}

pub struct Daemon {
    pub address: Address,
    /// The listener for callers.
    pub caller: SocketAddr,
    pub shared: Arc<Shared>,
    pub peers: Arc<QuicPeers>,
    pub side: Arc<RequestSide>,
    pub events: mpsc::Receiver<Event>,
    tasks: Vec<tokio::task::AbortHandle>,
}

pub struct Mesh {
    pub authority: Authority,
    pub settings: Settings,
    pub config: Arc<Config>,
    pub daemons: Vec<Daemon>,
}

impl Mesh {
    pub fn new() -> Self {
        let mut settings = Settings::default();
        settings.admin.health_interval = Interval::from_millis(100);
        settings.request.silence = Interval::from_millis(300);
        Self {
            authority: Authority::generate().unwrap(),
            settings,
            config: Arc::new(config()),
            daemons: Vec::new(),
        }
    }

    /// Starts a daemon for each of `servers`, followed by `without` daemons without a backend
    /// server.
    pub async fn start(servers: &[&Backend], without: usize) -> Self {
        let mut mesh = Self::new();
        mesh.add_all(servers, without).await;
        mesh
    }

    /// Adds daemons, and waits until their backend servers are healthy. Those added before may have lost theirs.
    pub async fn add_all(&mut self, servers: &[&Backend], without: usize) {
        let known = self.daemons.len();
        for index in 0..servers.len() + without {
            let data_centre = format!("hall-{index}");
            self.add(
                &data_centre,
                servers.get(index).map(|backend| backend.address),
            )
            .await;
        }
        self.publish();
        for daemon in &self.daemons[known..] {
            if daemon.shared.server.borrow().is_some() {
                daemon.wait_healthy().await;
            }
        }
    }

    pub async fn add(&mut self, data_centre: &str, server: Option<SocketAddr>) {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        self.add_at(data_centre, server, socket, 1).await;
    }

    pub async fn add_at(
        &mut self,
        data_centre: &str,
        server: Option<SocketAddr>,
        socket: UdpSocket,
        incarnation: u64,
    ) {
        let address = Address(socket.local_addr().unwrap());
        self.add_known_as(address, data_centre, server, socket, incarnation)
            .await;
    }

    /// Adds a daemon that the others reach through a relay.
    pub async fn add_behind_relay(
        &mut self,
        data_centre: &str,
        server: Option<SocketAddr>,
    ) -> Relay {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        let relay = Relay::start(socket.local_addr().unwrap()).await;
        self.add_known_as(Address(relay.address), data_centre, server, socket, 1)
            .await;
        relay
    }

    async fn add_known_as(
        &mut self,
        address: Address,
        data_centre: &str,
        server: Option<SocketAddr>,
        socket: UdpSocket,
        incarnation: u64,
    ) {
        let credentials = self.authority.issue(address).unwrap();
        let authority = self.authority.to_credentials().certificate;
        let tls =
            PeerTls::from_pem(&authority, &credentials.certificate, &credentials.key).unwrap();
        let local = InstanceId {
            address,
            incarnation: Incarnation(incarnation),
        };
        let mut settings = self.settings.clone();
        settings.daemon.address = address;
        settings.daemon.data_centre = data_centre.parse().unwrap();
        let (sender, events) = mpsc::channel(EVENT_QUEUE_LEN);
        let server = server.map(|address| BackendServer {
            service: SERVICE.parse().unwrap(),
            address,
            slots: SlotCount(16),
            connections: 64,
        });
        let silence = settings.request.silence;
        let peers = QuicPeers::start(socket, address, &tls, silence, sender.clone()).unwrap();
        let shared = Arc::new(Shared {
            settings,
            local,
            view: ArcSwap::from_pointee(View::new(
                local,
                true,
                self.config.clone(),
                BTreeMap::new(),
            )),
            server: watch::Sender::new(server),
            healthy: watch::Sender::new(false),
            draining: watch::Sender::new(false),
            log: Arc::new(NoLog),
            events: sender,
            mesh_key: MeshKey::new(MESH_KEY),
        });
        let side = RequestSide::new(shared.clone(), peers.clone());
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let caller = listener.local_addr().unwrap();
        let task = tokio::spawn(side.clone().run(listener));
        self.daemons.push(Daemon {
            address,
            caller,
            shared,
            peers,
            side,
            events,
            tasks: vec![task.abort_handle()],
        });
    }

    /// Publishes all backend servers in the view of every daemon.
    pub fn publish(&self) {
        let mut list: Vec<Endpoint> = self
            .daemons
            .iter()
            .filter(|daemon| daemon.shared.server.borrow().is_some())
            .map(Daemon::endpoint)
            .collect();
        list.sort_by_key(|endpoint| endpoint.instance);
        let list: Arc<[Endpoint]> = list.into();
        for daemon in &self.daemons {
            daemon.shared.view.store(Arc::new(View::new(
                daemon.shared.local,
                true,
                self.config.clone(),
                BTreeMap::from([(SERVICE.parse().unwrap(), list.clone())]),
            )));
        }
    }
}

impl Daemon {
    pub fn endpoint(&self) -> Endpoint {
        Endpoint {
            instance: self.shared.local,
            service: SERVICE.parse().unwrap(),
            data_centre: self.shared.settings.daemon.data_centre.clone(),
            region: self.shared.settings.daemon.region.clone(),
            slots: SlotCount(16),
            state: EndpointState::Ready,
            since: Instant::now(),
        }
    }

    pub async fn wait_healthy(&self) {
        let mut healthy = self.shared.healthy.subscribe();
        healthy.wait_for(|healthy| *healthy).await.unwrap();
    }

    /// Kills the daemon without closing its connections.
    pub fn kill(&self) {
        for task in &self.tasks {
            task.abort();
        }
        self.peers.abort();
    }

    /// Stops the daemon and frees its port.
    pub async fn stop(self) {
        for task in &self.tasks {
            task.abort();
        }
        self.peers.close().await;
    }

    pub async fn drain(&self) -> ExitCode {
        self.side.signal();
        self.side.drain().await
    }
}

fn config() -> Config {
    let service: marigold_types::ServiceName = SERVICE.parse().unwrap();
    let mut declarations = BTreeMap::new();
    let mut declare = |resource, declaration| {
        declarations.insert(resource, Arc::new(declaration));
    };
    declare(
        Resource::Service(service.clone()),
        Declaration::Service(Service {
            warmup: Interval::from_millis(0),
            ..Service::default()
        }),
    );
    for (name, path, idempotent) in [("read", "/read", true), ("write", "/write", false)] {
        declare(
            Resource::Route(name.parse().unwrap()),
            Declaration::Route(Route {
                path: Arc::from(path),
                service: service.clone(),
                class: Class::Interactive,
                idempotent,
                deadline: Interval::from_millis(20_000),
            }),
        );
    }
    Config::new(Version::default(), declarations)
}
