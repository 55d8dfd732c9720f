//! One ingress, and executors with backend servers that follow scripts, over real sockets.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use marigold_dispatch::{
    CallKind, CallerLimits, LinkRate, Rank, RoutePolicy, RouteTable, ServingState, Site, Target,
};
use marigold_sidecar::events::EventLog;
use marigold_sidecar::executor::{LocalExecutor, LocalOptions};
use marigold_sidecar::ingress::{Ingress, IngressOptions, Mesh, MeshOptions, Tuning, listen};
use marigold_sidecar::link::LinkServer;
use marigold_types::{SlotCount, Version};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::{TEST_TIMEOUT, announcement, listener, names, service};

/// What a backend server does with each request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendBehaviour {
    /// It answers with its path.
    Succeed,
    /// It answers with a failure of its own.
    Fail,
    /// It says that it did not run the request.
    Reject,
    /// It reads the request and closes the connection.
    Disconnect,
    /// It reads the request and says nothing.
    Hang,
}

/// One data centre: an ingress, and an executor with a backend server for each script.
pub struct TestMesh {
    pub callers: SocketAddr,
    pub ingress: Rc<Ingress>,
    pub executors: Vec<Rc<LocalExecutor>>,
    pub backends: Vec<SocketAddr>,
    /// Requests that reached each backend server.
    pub arrivals: Rc<RefCell<HashMap<SocketAddr, u32>>>,
    /// Where the executors take calls.
    pub addresses: Vec<SocketAddr>,
    /// Connections that backend servers saw closed while they said nothing.
    pub left: Rc<Cell<u32>>,
}

impl TestMesh {
    pub async fn new(scripts: &[BackendBehaviour]) -> Self {
        let events = EventLog::new(Arc::from("test"), spdlog::default_logger());
        Self::logging_to(scripts, Rc::new(events)).await
    }

    /// Builds a world whose daemons write to `events`.
    pub async fn logging_to(scripts: &[BackendBehaviour], events: Rc<EventLog>) -> Self {
        let options = MeshOptions {
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            data_centre: "here".parse().expect("a name"),
            tuning: Tuning {
                byte_cost: 0.0,
                retry_ratio: 0.0,
                retry_slack: 100.0,
                retry_window: Duration::from_secs(10),
            },
        };
        let mesh = Mesh::new(&options, SmallRng::seed_from_u64(5), events.clone());
        let options = IngressOptions {
            names: names(),
            origin: service("ledger"),
            grace: Duration::from_secs(6),
            body_budget_bytes: 1 << 20,
        };
        let ingress = Ingress::new(options, mesh.clone(), events.clone());
        ingress.install(Arc::new(table()));
        let (callers_listener, callers) = listener().await;
        spawn_local(listen(ingress.clone(), callers_listener));
        let mut world = Self {
            callers,
            ingress,
            executors: Vec::new(),
            backends: Vec::new(),
            addresses: Vec::new(),
            arrivals: Rc::default(),
            left: Rc::default(),
        };
        for (life, script) in scripts.iter().enumerate() {
            world.add(*script, life as u64, &events).await;
        }
        let all = scripts.len();
        until(|| {
            mesh.with_directory(|directory| {
                directory.all().map(|site| site.address).collect::<Vec<_>>()
            })
            .into_iter()
            .filter(|address| mesh.with_placement(|placement| placement.is_up(*address)))
            .count()
                == all
        })
        .await;
        world
    }

    pub async fn add(&mut self, script: BackendBehaviour, life: u64, events: &Rc<EventLog>) {
        let (backend_listener, backend) = listener().await;
        let (arrivals, left) = (self.arrivals.clone(), self.left.clone());
        spawn_local(async move {
            loop {
                let (stream, _) = backend_listener.accept().await.expect("a connection");
                spawn_local(act(stream, script, backend, arrivals.clone(), left.clone()));
            }
        });
        let options = LocalOptions {
            names: names(),
            answer_limit: 1 << 20,
        };
        let executor = LocalExecutor::new(options, events.clone());
        executor.announced(&announcement(backend, 1, ServingState::Ready));
        let server = LinkServer::new(life, executor.clone());
        executor.attach(&server);
        let (daemons_listener, address) = listener().await;
        spawn_local(server.listen(daemons_listener));
        self.ingress.mesh.update_directory(|directory| {
            directory.put(Site {
                address,
                data_centre: "here".parse().expect("a name"),
                service: service("desk"),
                slots: SlotCount(2),
                link: LinkRate(100),
            });
        });
        self.addresses.push(address);
        self.executors.push(executor);
        self.backends.push(backend);
    }

    pub fn arrivals(&self) -> u32 {
        self.arrivals.borrow().values().sum()
    }

    /// Sends bytes on a connection of their own and returns all that comes back.
    pub async fn send(&self, bytes: &str) -> String {
        let exchange = async {
            let mut stream = TcpStream::connect(self.callers).await.expect("the ingress");
            stream.write_all(bytes.as_bytes()).await.expect("a reader");
            let mut text = Vec::new();
            stream.read_to_end(&mut text).await.expect("an end");
            String::from_utf8(text).expect("a text")
        };
        timeout(TEST_TIMEOUT, exchange).await.expect("an answer")
    }
}

fn table() -> RouteTable {
    let route = |name: &str, idempotent| RoutePolicy {
        kind: CallKind(Arc::from(name)),
        host: Arc::from("git.example"),
        prefix: Arc::from(format!("/{name}/")),
        idempotent,
        timeout: TEST_TIMEOUT,
        objective: Duration::from_secs(1),
        rank: Rank(1),
        attempts: 2,
        targets: vec![Target {
            service: service("desk"),
            weight: 1,
        }],
    };
    let routes = vec![route("safe", true), route("once", false)];
    RouteTable::new(Version(1), routes, HashMap::new(), CallerLimits::default())
}

async fn act(
    mut stream: TcpStream,
    script: BackendBehaviour,
    own: SocketAddr,
    arrivals: Rc<RefCell<HashMap<SocketAddr, u32>>>,
    left: Rc<Cell<u32>>,
) {
    let mut input = Vec::new();
    let mut piece = [0; 1024];
    loop {
        let Ok(count @ 1..) = stream.read(&mut piece).await else {
            return;
        };
        input.extend_from_slice(&piece[..count]);
        let text = String::from_utf8_lossy(&input).into_owned();
        if !text.contains("\r\n\r\n") {
            continue;
        }
        input.clear();
        *arrivals.borrow_mut().entry(own).or_default() += 1;
        let field = |name: &str| {
            let line = text.lines().find_map(|line| line.strip_prefix(name));
            line.unwrap_or_default().to_owned()
        };
        let path = text.split(' ').nth(1).unwrap_or_default().to_owned();
        let head = format!("X-Id: {}\r\nContent-Length:", field("X-Id: "));
        let answer = match script {
            BackendBehaviour::Succeed => {
                let body = format!("{path} for {}", field("X-Origin: "));
                format!(
                    "HTTP/1.1 200 OK\r\nX-Signed: s\r\n{head} {}\r\n\r\n{body}",
                    body.len()
                )
            }
            BackendBehaviour::Fail => {
                format!("HTTP/1.1 500 No\r\nX-Signed: s\r\n{head} 0\r\n\r\n")
            }
            BackendBehaviour::Reject => {
                "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n".to_owned()
            }
            BackendBehaviour::Disconnect => return,
            BackendBehaviour::Hang => {
                // Nothing more comes but the end.
                if matches!(stream.read(&mut piece).await, Ok(0) | Err(_)) {
                    left.set(left.get() + 1);
                }
                return;
            }
        };
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

pub async fn until(done: impl Fn() -> bool) {
    let wait = async {
        while !done() {
            sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(TEST_TIMEOUT, wait).await.expect("it comes about");
}

pub fn get(path: &str, more: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: git.example\r\nX-Id: r1\r\n{more}\r\n")
}
