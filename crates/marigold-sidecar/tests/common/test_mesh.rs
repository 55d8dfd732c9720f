//! An ingress and executors with simulated backend servers, connected by real sockets.

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
use marigold_sidecar::executor::{ExecutorOptions, LocalExecutor};
use marigold_sidecar::ingress::{Ingress, IngressOptions, Mesh, MeshOptions, Tuning, listen};
use marigold_sidecar::link::LinkServer;
use marigold_sidecar::{CrashTracker, MemoryBudget};
use marigold_types::{SlotCount, Version};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::{TEST_TIMEOUT, announcement, listener, names, service};

/// Time that a failing or slow backend server takes to respond.
pub const FAILURE_DELAY: Duration = Duration::from_millis(20);

/// Path of the health check of the simulated backend servers, which tests have to set.
pub const HEALTH_PATH: &str = "/health";
/// Marks the paths at which [`BackendBehaviour::HangOnMark`] hangs.
pub const HANG_MARK: &str = "/hang";
/// Marks the paths at which it disconnects.
pub const CUT_MARK: &str = "/cut";

type TimesLeft = Rc<RefCell<Vec<u64>>>;
type Received = Rc<RefCell<Vec<String>>>;

/// How a simulated backend server handles each request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendBehaviour {
    /// Responds with 200 and the path and origin of the request.
    Succeed,
    /// As [`Self::Succeed`], after [`FAILURE_DELAY`].
    SucceedSlowly,
    /// Responds with 500, after [`FAILURE_DELAY`].
    Fail,
    /// Responds that it did not run the request.
    Reject,
    /// As [`Self::Reject`], after [`FAILURE_DELAY`].
    RejectSlowly,
    /// Reads the request and closes the connection.
    Disconnect,
    /// Reads the request, or the health check, and never responds.
    Hang,
    /// As [`Self::Hang`] for paths that contain [`HANG_MARK`], as [`Self::Disconnect`] for those that contain
    /// [`CUT_MARK`], as [`Self::Succeed`] after [`FAILURE_DELAY`] for others.
    HangOnMark,
}

/// One data centre with an ingress, and an executor and backend server for each behaviour.
pub struct TestMesh {
    pub callers: SocketAddr,
    pub ingress: Rc<Ingress>,
    pub executors: Vec<Rc<LocalExecutor>>,
    /// The tracker of each executor's daemon.
    pub trackers: Vec<Rc<CrashTracker>>,
    pub backends: Vec<SocketAddr>,
    /// Requests received by each backend server.
    pub arrivals: Rc<RefCell<HashMap<SocketAddr, u32>>>,
    /// Time left as stated in the requests received by all backend servers, in milliseconds.
    pub times_left: Rc<RefCell<Vec<u64>>>,
    /// The requests received by all backend servers, as text.
    pub received: Rc<RefCell<Vec<String>>>,
    /// Field lines that all backend servers add to their responses.
    pub extra_fields: Rc<RefCell<&'static str>>,
    /// Addresses at which the executors accept calls.
    pub addresses: Vec<SocketAddr>,
    /// Connections closed by the executor while the backend server was hanging.
    pub disconnects: Rc<Cell<u32>>,
}

impl TestMesh {
    pub async fn new(behaviours: &[BackendBehaviour]) -> Self {
        let events = EventLog::new(Arc::from("test"), spdlog::default_logger());
        Self::logging_to(behaviours, Rc::new(events)).await
    }

    /// Starts a mesh whose daemons log to `events`, and waits until all executors are reachable.
    pub async fn logging_to(behaviours: &[BackendBehaviour], events: Rc<EventLog>) -> Self {
        let options = MeshOptions {
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            data_centre: "here".parse().expect("a name"),
            tuning: Tuning {
                byte_cost: 0.0,
                decisions: marigold_dispatch::Decisions::default(),
                // The share of the slack grows from nothing; each request earns more retries than it may use.
                retry_ratio: 10.0,
                retry_slack: 0.0,
                retry_window: Duration::from_secs(10),
            },
            memory: MemoryBudget::unlimited(),
        };
        let crashes = CrashTracker::new(options.address, 0, events.clone());
        let rng = SmallRng::seed_from_u64(5);
        let mesh = Mesh::new(&options, rng, crashes, events.clone());
        let options = IngressOptions {
            names: names(),
            origin: service("ledger"),
            grace: Duration::from_secs(6),
            memory: options.memory.clone(),
            max_callers: 1 << 10,
        };
        let ingress = Ingress::new(options, mesh.clone(), events.clone());
        ingress.install(Arc::new(route_table()));
        let (callers_listener, callers) = listener().await;
        spawn_local(listen(ingress.clone(), callers_listener));
        let mut test_mesh = Self {
            callers,
            ingress,
            executors: Vec::new(),
            trackers: Vec::new(),
            backends: Vec::new(),
            addresses: Vec::new(),
            arrivals: Rc::default(),
            times_left: Rc::default(),
            received: Rc::default(),
            extra_fields: Rc::default(),
            disconnects: Rc::default(),
        };
        for (run_id, behaviour) in behaviours.iter().enumerate() {
            test_mesh
                .add_executor(*behaviour, run_id as u64, &events)
                .await;
        }
        let expected = behaviours.len();
        until(|| {
            mesh.with_directory(|directory| {
                directory.all().map(|site| site.address).collect::<Vec<_>>()
            })
            .into_iter()
            .filter(|address| mesh.with_placement(|placement| placement.is_up(*address)))
            .count()
                == expected
        })
        .await;
        test_mesh
    }

    async fn add_executor(
        &mut self,
        behaviour: BackendBehaviour,
        run_id: u64,
        events: &Rc<EventLog>,
    ) {
        let (backend_listener, backend) = listener().await;
        let (arrivals, disconnects) = (self.arrivals.clone(), self.disconnects.clone());
        let times_left = self.times_left.clone();
        let received = self.received.clone();
        let extra_fields = self.extra_fields.clone();
        spawn_local(async move {
            loop {
                let (stream, _) = backend_listener.accept().await.expect("a connection");
                spawn_local(serve_backend(
                    stream,
                    behaviour,
                    backend,
                    arrivals.clone(),
                    (times_left.clone(), received.clone()),
                    extra_fields.clone(),
                    disconnects.clone(),
                ));
            }
        });
        let options = ExecutorOptions::new(names(), 16 << 20);
        let (daemons_listener, address) = listener().await;
        let crashes = CrashTracker::new(address, run_id, events.clone());
        let executor = LocalExecutor::new(options, crashes.clone(), events.clone());
        executor.apply_announcement(&announcement(backend, 1, ServingState::Ready));
        let server = LinkServer::new(run_id, executor.clone());
        executor.set_link_server(&server);
        crashes.set_link_server(&server);
        spawn_local(server.listen(daemons_listener));
        spawn_local(executor.clone().run_maintenance());
        self.ingress.mesh.update_directory(|directory| {
            directory.put(Site {
                address,
                data_centre: "here".parse().expect("a name"),
                service: service("desk"),
                version: None,
                slots: SlotCount(2),
                link: LinkRate(100),
                leaving: None,
            });
        });
        self.addresses.push(address);
        self.executors.push(executor);
        self.trackers.push(crashes);
        self.backends.push(backend);
    }

    /// Returns the number of requests received by all backend servers together.
    pub fn arrivals(&self) -> u32 {
        self.arrivals.borrow().values().sum()
    }

    /// Sends `bytes` on a new connection and returns everything received until the ingress closes it.
    pub async fn send(&self, bytes: &str) -> String {
        let exchange = async {
            let mut stream = TcpStream::connect(self.callers).await.expect("the ingress");
            stream
                .write_all(bytes.as_bytes())
                .await
                .expect("an open connection");
            let mut text = Vec::new();
            stream
                .read_to_end(&mut text)
                .await
                .expect("the connection to end");
            String::from_utf8(text).expect("valid UTF-8")
        };
        timeout(TEST_TIMEOUT, exchange)
            .await
            .expect("a response in time")
    }
}

/// Returns a route of the mesh; its path is its name.
pub fn route(name: &str, idempotent: bool) -> RoutePolicy {
    RoutePolicy {
        kind: CallKind(Arc::from(name)),
        host: Arc::from("git.example"),
        prefix: Arc::from(format!("/{name}/")),
        idempotent,
        timeout: TEST_TIMEOUT,
        objective: Duration::from_secs(1),
        rank: Rank(1),
        attempts: 2,
        is_open: false,
        targets: vec![Target {
            service: service("desk"),
            weight: 1,
        }],
    }
}

fn route_table() -> RouteTable {
    let routes = vec![route("safe", true), route("once", false)];
    RouteTable::new(Version(1), routes, HashMap::new(), CallerLimits::default())
}

/// Serves one connection of the simulated backend server at `address`.
async fn serve_backend(
    mut stream: TcpStream,
    behaviour: BackendBehaviour,
    address: SocketAddr,
    arrivals: Rc<RefCell<HashMap<SocketAddr, u32>>>,
    (times_left, received): (TimesLeft, Received),
    extra_fields: Rc<RefCell<&'static str>>,
    disconnects: Rc<Cell<u32>>,
) {
    let mut input = Vec::new();
    let mut buffer = [0; 1024];
    loop {
        let Ok(count @ 1..) = stream.read(&mut buffer).await else {
            return;
        };
        input.extend_from_slice(&buffer[..count]);
        let text = String::from_utf8_lossy(&input).into_owned();
        if !text.contains("\r\n\r\n") {
            continue;
        }
        input.clear();
        let is_health_check = text.starts_with(&format!("GET {HEALTH_PATH} "));
        if is_health_check && behaviour != BackendBehaviour::Hang {
            let extra = *extra_fields.borrow();
            let response = format!(
                "HTTP/1.1 200 OK\r\nX-Identity: life-1\r\n{extra}Content-Length: 0\r\n\r\n"
            );
            if stream.write_all(response.as_bytes()).await.is_err() {
                return;
            }
            continue;
        }
        if !is_health_check {
            received.borrow_mut().push(text.clone());
            *arrivals.borrow_mut().entry(address).or_default() += 1;
        }
        let field = |name: &str| {
            let line = text.lines().find_map(|line| line.strip_prefix(name));
            line.unwrap_or_default().to_owned()
        };
        if !is_health_check {
            let millis = field("X-Left: ").parse().expect("a time in milliseconds");
            times_left.borrow_mut().push(millis);
        }
        let path = text.split(' ').nth(1).unwrap_or_default().to_owned();
        let extra = *extra_fields.borrow();
        let head = format!("X-Id: {}\r\n{extra}Content-Length:", field("X-Id: "));
        let hangs = match behaviour {
            BackendBehaviour::Hang => true,
            BackendBehaviour::HangOnMark => path.contains(HANG_MARK),
            _ => false,
        };
        if hangs {
            // The executor sends nothing more and eventually closes the connection.
            if matches!(stream.read(&mut buffer).await, Ok(0) | Err(_)) {
                disconnects.set(disconnects.get() + 1);
            }
            return;
        }
        if behaviour == BackendBehaviour::HangOnMark && path.contains(CUT_MARK) {
            return;
        }
        let response = match behaviour {
            BackendBehaviour::Succeed
            | BackendBehaviour::SucceedSlowly
            | BackendBehaviour::HangOnMark
            | BackendBehaviour::Hang => {
                if behaviour != BackendBehaviour::Succeed {
                    sleep(FAILURE_DELAY).await;
                }
                let body = format!("{path} for {}", field("X-Origin: "));
                format!(
                    "HTTP/1.1 200 OK\r\nX-Signed: s\r\n{head} {}\r\n\r\n{body}",
                    body.len()
                )
            }
            BackendBehaviour::Fail => {
                sleep(FAILURE_DELAY).await;
                format!("HTTP/1.1 500 No\r\nX-Signed: s\r\n{head} 0\r\n\r\n")
            }
            BackendBehaviour::Reject | BackendBehaviour::RejectSlowly => {
                if behaviour == BackendBehaviour::RejectSlowly {
                    sleep(FAILURE_DELAY).await;
                }
                format!("HTTP/1.1 503 No\r\nX-Not-Run: 1\r\n{extra}Content-Length: 0\r\n\r\n")
            }
            BackendBehaviour::Disconnect => return,
        };
        if stream.write_all(response.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Waits until `done` returns true.
pub async fn until(done: impl Fn() -> bool) {
    let wait = async {
        while !done() {
            sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(TEST_TIMEOUT, wait)
        .await
        .expect("the condition holds in time");
}

/// Returns a GET request for `path` with additional header fields.
pub fn get(path: &str, extra_fields: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: git.example\r\nX-Id: r1\r\n{extra_fields}\r\n")
}
