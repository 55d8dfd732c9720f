//! The quotas of workspaces, kept by several daemons over real sockets.

mod common;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use common::test_mesh::{BackendBehaviour, TestMesh, get};
use common::{TEST_TIMEOUT, listener, local_tests, names, service};
use marigold_dispatch::{
    CallKind, CallerLimits, LinkRate, Precedence, Rank, RequestQuota, RoutePolicy, RouteTable,
    Site, Target, Workspace, WorkspaceTable,
};
use marigold_sidecar::CrashTracker;
use marigold_sidecar::events::EventLog;
use marigold_sidecar::executor::{ExecutorOptions, LocalExecutor};
use marigold_sidecar::ingress::{Mesh, MeshOptions, OverQuota, Tuning};
use marigold_sidecar::link::LinkServer;
use marigold_types::{SlotCount, Version, WorkspaceName};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::net::TcpListener;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep, timeout};

const BURST: f64 = 10.0;
/// So low that no token is added during a test.
const RATE: f64 = 0.001;

struct Daemon {
    address: SocketAddr,
    mesh: Rc<Mesh>,
    task: JoinHandle<()>,
}

fn workspace(name: &str, quota: Option<RequestQuota>) -> Workspace {
    Workspace {
        name: name.parse().expect("a name"),
        precedence: Precedence::default(),
        quota,
    }
}

fn limited(rate: f64, burst: f64) -> Workspace {
    workspace("limited", Some(RequestQuota { rate, burst }))
}

fn table(workspace: &Workspace) -> Arc<WorkspaceTable> {
    let mut table = WorkspaceTable::default();
    table.insert(workspace.clone(), ["key"]);
    Arc::new(table)
}

fn start(address: SocketAddr, listener: TcpListener, run_id: u64, has_quotas: bool) -> Daemon {
    let events = Rc::new(EventLog::new(Arc::from("test"), spdlog::default_logger()));
    let options = MeshOptions {
        address,
        data_centre: "here".parse().expect("a name"),
        tuning: Tuning {
            byte_cost: 0.0,
            decisions: marigold_dispatch::Decisions::default(),
            retry_ratio: 0.0,
            retry_slack: 0.0,
            retry_window: Duration::from_secs(10),
        },
        memory: marigold_sidecar::MemoryBudget::unlimited(),
    };
    let crashes = CrashTracker::new(address, run_id, events.clone());
    let rng = SmallRng::seed_from_u64(run_id);
    let mesh = Mesh::new(&options, rng, crashes.clone(), events.clone());
    let executor = LocalExecutor::new(ExecutorOptions::new(names(), 16 << 20), crashes, events);
    let server = LinkServer::new(run_id, executor);
    if has_quotas {
        server.set_quotas(mesh.quotas.clone());
    }
    let task = spawn_local(server.listen(listener));
    Daemon {
        address,
        mesh,
        task,
    }
}

/// Starts daemons that know each other. Those from `older` on don't know about quotas.
async fn start_daemons(count: usize, older: usize, workspace: &Workspace) -> Vec<Daemon> {
    let mut daemons = Vec::new();
    for index in 0..count {
        let (listener, address) = listener().await;
        daemons.push(start(address, listener, index as u64, index < older));
    }
    let addresses: Vec<_> = daemons.iter().map(|daemon| daemon.address).collect();
    for daemon in &daemons {
        for address in &addresses {
            daemon.mesh.update_directory(|directory| {
                directory.put(Site {
                    address: *address,
                    data_centre: "here".parse().expect("a name"),
                    service: service("desk"),
                    version: None,
                    slots: SlotCount(2),
                    link: LinkRate(100),
                    leaving: None,
                });
            });
        }
        daemon.mesh.quotas.confirm_directory();
        daemon.mesh.quotas.install(Some(table(workspace)));
    }
    daemons
}

/// Sends requests at the daemons in turn until the first is granted.
async fn first_grant(daemons: &[Daemon], workspace: &Workspace) {
    let wait = async {
        for daemon in daemons.iter().cycle() {
            if daemon.mesh.quotas.admit(workspace).await.is_ok() {
                return;
            }
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(TEST_TIMEOUT, wait).await.expect("a grant in time");
}

local_tests! {
    daemons_grant_a_burst_once {
        let workspace = limited(1_000.0, BURST);
        let daemons = start_daemons(3, 3, &workspace).await;
        first_grant(&daemons, &workspace).await;
        // The bucket fills within 10 ms.
        sleep(Duration::from_millis(100)).await;
        let workspace = limited(RATE, BURST);
        for daemon in &daemons {
            daemon.mesh.quotas.install(Some(table(&workspace)));
        }
        let mut granted = 0;
        for index in 0..30 {
            granted += u32::from(daemons[index % 3].mesh.quotas.admit(&workspace).await.is_ok());
        }
        assert!((1..=10).contains(&granted), "{granted}");
        let refused = daemons[0].mesh.quotas.admit(&workspace).await;
        assert!(matches!(refused, Err(OverQuota::Refused { .. })), "{refused:?}");
    }

    workspace_without_a_quota_asks_nobody {
        let workspace = workspace("free", None);
        let daemons = start_daemons(1, 1, &workspace).await;
        let began = Instant::now();
        assert_eq!(daemons[0].mesh.quotas.admit(&workspace).await, Ok(()));
        assert!(began.elapsed() < TEST_TIMEOUT);
    }

    daemons_go_on_after_one_has_ended {
        let workspace = limited(100.0, BURST);
        let mut daemons = start_daemons(5, 5, &workspace).await;
        first_grant(&daemons, &workspace).await;
        let ended = daemons.remove(0);
        ended.task.abort();
        first_grant(&daemons, &workspace).await;
    }

    older_daemons_are_not_asked {
        let workspace = limited(100.0, BURST);
        // Without their votes, the only daemon that understands the asks is not trusted.
        let daemons = start_daemons(3, 1, &workspace).await;
        let verdict = daemons[0].mesh.quotas.admit(&workspace).await;
        assert_eq!(verdict, Err(OverQuota::Unsettled));
    }

    request_over_the_quota_is_answered_with_429 {
        let mesh = TestMesh::new(&[BackendBehaviour::Succeed]).await;
        let workspace = limited(RATE, 0.0);
        let name: WorkspaceName = workspace.name.clone();
        let mut workspaces = WorkspaceTable::default();
        workspaces.insert(workspace, ["key"]);
        assert!(workspaces.get(&name).is_some());
        let route = RoutePolicy {
            kind: CallKind(Arc::from("safe")),
            host: Arc::from("git.example"),
            prefix: Arc::from("/safe/"),
            idempotent: true,
            timeout: TEST_TIMEOUT,
            objective: Duration::from_secs(1),
            rank: Rank(1),
            attempts: 2,
            is_open: false,
            targets: vec![Target { service: service("desk"), weight: 1 }],
        };
        let table = RouteTable::new(Version(2), vec![route], HashMap::new(), CallerLimits::default());
        mesh.ingress.install(Arc::new(table.with_workspaces(workspaces)));
        // The ingress is the only daemon.
        mesh.ingress.mesh.quotas.set_daemons(vec![SocketAddr::from(([127, 0, 0, 1], 1))]);
        mesh.ingress.mesh.quotas.confirm_directory();
        let request = get("/safe/x", "X-Key: key\r\nConnection: close\r\n");
        let send = || mesh.send(&request);
        let answered = async {
            loop {
                let response = send().await;
                if response.starts_with("HTTP/1.1 200") {
                    return;
                }
                assert!(response.starts_with("HTTP/1.1 503"), "{response}");
            }
        };
        timeout(TEST_TIMEOUT, answered).await.expect("a vote in time");
        let response = send().await;
        assert!(response.starts_with("HTTP/1.1 429"), "{response}");
        assert!(response.contains("Retry-After: "), "{response}");
        assert_eq!(mesh.arrivals(), 1);
    }
}
