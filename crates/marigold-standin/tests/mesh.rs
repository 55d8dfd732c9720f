//! A whole mesh in one process, over real sockets: publish, call, change, lose a daemon.

use std::time::Duration;

use marigold_standin::fleet::{Customer, Mesh, MeshPlan, Node};
use marigold_standin::load::{LoadPlan, LoadRun};
use marigold_standin::log::{LogLimits, MemoryLog};
use marigold_types::{Interval, Rate};

/// How long a busy machine may take over a step; nothing is asserted of the time itself.
const WAIT: Duration = Duration::from_mins(1);

/// Two daemons of each of Tregaron's services.
fn small() -> MeshPlan {
    let plan = Customer::Tregaron.mesh();
    let nodes = [0, 1, 5, 6].map(|at| plan.nodes[at].clone());
    MeshPlan {
        nodes: nodes.into(),
        ..plan
    }
}

async fn start() -> Mesh {
    let log = MemoryLog::new(LogLimits::default());
    let mesh = Mesh::start(&small(), log).await.unwrap();
    mesh.wait_until("join", WAIT, |node| node.members() == 4)
        .await
        .unwrap();
    let intent = Customer::Tregaron.intent().unwrap();
    let planned = mesh.plan(&intent).await.unwrap();
    assert!(mesh.confirm(&planned, WAIT).await.unwrap().is_whole());
    mesh.wait_until("serve", WAIT, Node::is_serving)
        .await
        .unwrap();
    mesh.wait_for_backends(WAIT).await.unwrap();
    mesh
}

fn load(mesh: &Mesh) -> LoadRun {
    let routes = Customer::Tregaron.load();
    let seconds = Interval::from_millis(2_000);
    LoadRun::new(LoadPlan::new(mesh.callers(), routes, Rate(100), seconds)).unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn change_under_load_loses_nothing() {
    let mesh = start().await;
    let calls = tokio::spawn(load(&mesh).run());
    let planned = mesh
        .plan(&Customer::Tregaron.changed_intent().unwrap())
        .await
        .unwrap();
    assert!(mesh.confirm(&planned, WAIT).await.unwrap().is_whole());
    let (report, ledger) = calls.await.unwrap();
    let audit = mesh.audit(&ledger);
    assert!(report.answered() > 0, "{report:?}");
    assert!(audit.is_clean(), "{audit:?} {report:?}");
    mesh.abandon();
}

#[tokio::test(flavor = "multi_thread")]
async fn dropped_daemon_loses_and_doubles_nothing() {
    let mut mesh = start().await;
    let calls = tokio::spawn(load(&mesh).run());
    mesh.nodes_mut()[3].abort();
    let (report, ledger) = calls.await.unwrap();
    let audit = mesh.audit(&ledger);
    assert!(report.answered() > 0, "{report:?}");
    assert!(audit.is_clean(), "{audit:?} {report:?}");
    mesh.abandon();
}

#[tokio::test(flavor = "multi_thread")]
async fn same_intent_twice_changes_nothing() {
    let mesh = start().await;
    let intent = Customer::Tregaron.intent().unwrap();
    let error = mesh.plan(&intent).await.unwrap_err();
    assert!(
        error.to_string().contains("nothing would change"),
        "{error}"
    );
    mesh.abandon();
}
