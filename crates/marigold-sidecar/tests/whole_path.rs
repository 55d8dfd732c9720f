//! Callers' requests through ingress, link and executor to scripted backend servers.

mod common;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use common::{PATIENCE, announcement, listener, names, service};
use marigold_dispatch::{
    CallKind, CallerLimits, LinkRate, Rank, RoutePolicy, RouteTable, ServingState, Site, Target,
};
use marigold_sidecar::events::EventLog;
use marigold_sidecar::executor::{LocalExecutor, LocalOptions};
use marigold_sidecar::ingress::{Ingress, IngressOptions, Mesh, MeshOptions, listen};
use marigold_sidecar::link::LinkServer;
use marigold_types::{SlotCount, Version};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

/// What a backend server does with each request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Does {
    /// It answers with its path.
    Answers,
    /// It answers with a failure of its own.
    Fails,
    /// It says that it did not run the request.
    Sheds,
    /// It reads the request and closes the connection.
    Breaks,
    /// It reads the request and says nothing.
    Hangs,
}

/// One data centre: an ingress, and an executor with a backend server for each script.
struct World {
    callers: SocketAddr,
    ingress: Rc<Ingress>,
    executors: Vec<Rc<LocalExecutor>>,
    backends: Vec<SocketAddr>,
    /// Requests that reached each backend server.
    arrivals: Rc<RefCell<HashMap<SocketAddr, u32>>>,
    /// Connections that backend servers saw closed while they said nothing.
    left: Rc<Cell<u32>>,
}

impl World {
    async fn new(scripts: &[Does]) -> Self {
        let events = Rc::new(EventLog::new(Arc::from("test")));
        let options = MeshOptions {
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            data_centre: "here".parse().expect("a name"),
            byte_cost: 0.0,
            retry_ratio: 0.0,
            retry_slack: 100.0,
            retry_window: Duration::from_secs(10),
        };
        let mesh = Mesh::new(options, SmallRng::seed_from_u64(5), events.clone());
        let options = IngressOptions {
            names: names(),
            origin: service("ledger"),
            grace: Duration::from_secs(6),
            body_budget: 1 << 20,
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
            arrivals: Rc::default(),
            left: Rc::default(),
        };
        for (life, script) in scripts.iter().enumerate() {
            world.add(*script, life as u64, &events).await;
        }
        let all = scripts.len();
        until(|| {
            mesh.read(|directory| directory.all().map(|site| site.address).collect::<Vec<_>>())
                .into_iter()
                .filter(|address| mesh.with_placement(|placement| placement.is_up(*address)))
                .count()
                == all
        })
        .await;
        world
    }

    async fn add(&mut self, script: Does, life: u64, events: &Rc<EventLog>) {
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
        self.ingress.mesh.update(|directory| {
            directory.put(Site {
                address,
                data_centre: "here".parse().expect("a name"),
                service: service("desk"),
                slots: SlotCount(2),
                link: LinkRate(100),
            });
        });
        self.executors.push(executor);
        self.backends.push(backend);
    }

    fn arrivals(&self) -> u32 {
        self.arrivals.borrow().values().sum()
    }

    /// Sends bytes on a connection of their own and returns all that comes back.
    async fn send(&self, bytes: &str) -> String {
        let exchange = async {
            let mut stream = TcpStream::connect(self.callers).await.expect("the ingress");
            stream.write_all(bytes.as_bytes()).await.expect("a reader");
            let mut text = Vec::new();
            stream.read_to_end(&mut text).await.expect("an end");
            String::from_utf8(text).expect("a text")
        };
        timeout(PATIENCE, exchange).await.expect("an answer")
    }
}

fn table() -> RouteTable {
    let route = |name: &str, idempotent| RoutePolicy {
        kind: CallKind(Arc::from(name)),
        host: Arc::from("git.example"),
        prefix: Arc::from(format!("/{name}/")),
        idempotent,
        timeout: PATIENCE,
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
    script: Does,
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
            Does::Answers => {
                let body = format!("{path} for {}", field("X-Origin: "));
                format!(
                    "HTTP/1.1 200 OK\r\nX-Signed: s\r\n{head} {}\r\n\r\n{body}",
                    body.len()
                )
            }
            Does::Fails => format!("HTTP/1.1 500 No\r\nX-Signed: s\r\n{head} 0\r\n\r\n"),
            Does::Sheds => {
                "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n".to_owned()
            }
            Does::Breaks => return,
            Does::Hangs => {
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

async fn until(done: impl Fn() -> bool) {
    let wait = async {
        while !done() {
            sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(PATIENCE, wait).await.expect("it comes about");
}

fn get(path: &str, more: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: git.example\r\nX-Id: r1\r\n{more}\r\n")
}

const LAST: &str = "Connection: close\r\n";

/// Runs a test's body with tasks that stay on one thread.
macro_rules! local {
    ($($name:ident $body:block)*) => {$(
        #[tokio::test]
        async fn $name() {
            LocalSet::new().run_until(async $body).await;
        }
    )*};
}

/// Names the scripts of backend servers, a path, the status that the caller gets, and how many requests
/// reach backend servers.
macro_rules! ends {
    ($($name:ident: [$($script:ident),*], $path:literal => $status:literal, $arrivals:literal;)*) => {
        local! {$(
            $name {
                let world = World::new(&[$(Does::$script),*]).await;
                let answer = world.send(&get($path, LAST)).await;
                assert!(answer.starts_with(concat!("HTTP/1.1 ", $status)), "{answer}");
                assert_eq!(world.arrivals(), $arrivals);
            }
        )*}
    };
}

ends! {
    answered: [Answers], "/safe/a" => "200", 1;
    unknown_route: [Answers], "/other/a" => "404", 0;
    failure_of_one_is_repeated_elsewhere: [Fails, Fails], "/safe/a" => "500", 2;
    failure_is_not_repeated_where_it_may_run_once: [Fails, Fails], "/once/a" => "500", 1;
    attempts_are_bounded: [Breaks, Breaks, Breaks], "/safe/a" => "502", 2;
    broken_off_and_may_run_once: [Breaks, Breaks], "/once/a" => "502", 1;
    not_run_goes_elsewhere: [Sheds, Sheds], "/once/a" => "503", 2;
    nobody_serves: [], "/safe/a" => "503", 0;
}

local! {
    the_origin_is_set_and_the_answer_is_whole {
        let world = World::new(&[Does::Answers]).await;
        let answer = world.send(&get("/safe/a", "X-Origin: forged\r\nConnection: close\r\n")).await;
        assert!(answer.ends_with("/safe/a for ledger"), "{answer}");
    }

    pipelined_answers_come_in_order {
        let world = World::new(&[Does::Answers, Does::Answers]).await;
        let requests: String = (0..5)
            .map(|i| get(&format!("/safe/{i}"), if i == 4 { LAST } else { "" }))
            .collect();
        let answers = world.send(&requests).await;
        let places: Vec<_> = (0..5)
            .map(|i| answers.find(&format!("/safe/{i} for")).expect("an answer"))
            .collect();
        assert!(places.is_sorted(), "{answers}");
    }

    a_refusal_says_when_to_come_back {
        let world = World::new(&[Does::Sheds]).await;
        let answer = world.send(&get("/safe/a", LAST)).await;
        let line = answer.lines().find_map(|line| line.strip_prefix("Retry-After: "));
        let seconds: f64 = line.expect("a time").parse().expect("seconds");
        // A server that sheds at random is worth another try at once.
        assert!(seconds <= 0.05, "{answer}");
    }

    a_leaving_backend_server_gets_nothing {
        let world = World::new(&[Does::Answers]).await;
        let news = announcement(world.backends[0], 2, ServingState::Draining);
        world.executors[0].announced(&news);
        let answer = world.send(&get("/safe/a", LAST)).await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert_eq!(world.arrivals(), 0);
    }

    a_caller_that_leaves_frees_the_backend_server {
        let world = World::new(&[Does::Hangs]).await;
        let mut stream = TcpStream::connect(world.callers).await.expect("the ingress");
        stream.write_all(get("/safe/a", "").as_bytes()).await.expect("a reader");
        until(|| world.arrivals() == 1).await;
        drop(stream);
        until(|| world.left.get() == 1).await;
    }

    a_deadline_ends_the_wait {
        let world = World::new(&[Does::Hangs]).await;
        let answer = world.send(&get("/once/a", "X-Left: 100\r\nConnection: close\r\n")).await;
        assert!(answer.starts_with("HTTP/1.1 504"), "{answer}");
    }

    without_a_configuration_nothing_is_unknown {
        let events = Rc::new(EventLog::new(Arc::from("test")));
        let world = World::new(&[]).await;
        let options = world.ingress.options.clone();
        let fresh = Ingress::new(options, world.ingress.mesh.clone(), events);
        let (socket, callers) = listener().await;
        spawn_local(listen(fresh, socket));
        let world = World { callers, ..world };
        let answer = world.send(&get("/other/a", LAST)).await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    }

    a_leaving_daemon_asks_callers_to_connect_elsewhere {
        let world = World::new(&[Does::Answers]).await;
        world.ingress.begin_shutdown();
        let answer = world.send(&get("/safe/a", "")).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        assert!(answer.contains("Connection: close"), "{answer}");
    }
}
