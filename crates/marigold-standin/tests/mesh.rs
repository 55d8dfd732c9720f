//! A complete mesh in one process over real sockets: configuration changes and a daemon failure
//! under load.

use std::time::Duration;

use marigold_standin::fleet::{Customer, Mesh, MeshPlan, Node};
use marigold_standin::load::{LoadPlan, LoadRun};
use marigold_standin::log::{LogLimits, MemoryLog};
use marigold_types::{Interval, Rate};

/// Generous timeout of a step for busy machines; no test asserts the time itself.
const STEP_TIMEOUT: Duration = Duration::from_mins(1);

/// A mesh with two daemons for each of Tregaron's services.
fn small_plan() -> MeshPlan {
    let plan = Customer::Tregaron.mesh_plan();
    let nodes = [0, 1, 5, 6].map(|at| plan.nodes[at].clone());
    MeshPlan {
        nodes: nodes.into(),
        ..plan
    }
}

async fn start() -> Mesh {
    let log = MemoryLog::new(LogLimits::default());
    let mesh = Mesh::start(&small_plan(), log).await.unwrap();
    mesh.wait_until("join", STEP_TIMEOUT, |node| node.member_count() == 4)
        .await
        .unwrap();
    let intent = Customer::Tregaron.intent().unwrap();
    let planned = mesh.plan(&intent).await.unwrap();
    assert!(
        mesh.confirm(&planned, STEP_TIMEOUT)
            .await
            .unwrap()
            .is_complete()
    );
    mesh.wait_until("serve", STEP_TIMEOUT, Node::is_serving)
        .await
        .unwrap();
    mesh.wait_for_backends(STEP_TIMEOUT).await.unwrap();
    mesh
}

fn load(mesh: &Mesh) -> LoadRun {
    let routes = Customer::Tregaron.load_routes();
    let seconds = Interval::from_millis(2_000);
    LoadRun::new(LoadPlan::new(
        mesh.caller_addresses(),
        routes,
        Rate(100),
        seconds,
    ))
    .unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn config_change_under_load_loses_no_call() {
    let mesh = start().await;
    let calls = tokio::spawn(load(&mesh).run());
    let planned = mesh
        .plan(&Customer::Tregaron.changed_intent().unwrap())
        .await
        .unwrap();
    assert!(
        mesh.confirm(&planned, STEP_TIMEOUT)
            .await
            .unwrap()
            .is_complete()
    );
    let (report, ledger) = calls.await.unwrap();
    let audit = mesh.audit(&ledger);
    assert!(report.answered() > 0, "{report:?}");
    assert!(audit.is_clean(), "{audit:?} {report:?}");
    mesh.abort();
}

#[tokio::test(flavor = "multi_thread")]
async fn aborted_daemon_loses_and_duplicates_no_call() {
    let mut mesh = start().await;
    let calls = tokio::spawn(load(&mesh).run());
    mesh.nodes_mut()[3].abort();
    let (report, ledger) = calls.await.unwrap();
    let audit = mesh.audit(&ledger);
    assert!(report.answered() > 0, "{report:?}");
    assert!(audit.is_clean(), "{audit:?} {report:?}");
    mesh.abort();
}

#[tokio::test(flavor = "multi_thread")]
async fn unchanged_intent_is_refused() {
    let mesh = start().await;
    let intent = Customer::Tregaron.intent().unwrap();
    let error = mesh.plan(&intent).await.unwrap_err();
    assert!(
        error.to_string().contains("nothing would change"),
        "{error}"
    );
    mesh.abort();
}
