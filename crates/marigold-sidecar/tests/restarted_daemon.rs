//! What a daemon that starts again knows of its backend server.

mod common;

use std::rc::Rc;
use std::sync::Arc;

use common::test_mesh::{BackendBehaviour, HEALTH_PATH, TestMesh, route, until};
use common::{announcement, local_tests, names, service};
use marigold_dispatch::{
    Announcement, AnnouncementOutcome, CallerLimits, Departure, Directory, RouteTable,
    ServicePolicy, ServingState, Site,
};
use marigold_sidecar::control::BackendDiscovery;
use marigold_sidecar::events::EventLog;
use marigold_sidecar::executor::{ExecutorOptions, LocalExecutor};
use marigold_types::Version;
use tokio::sync::watch;
use tokio::task::{spawn_local, yield_now};

/// Limit on the bodies that the executor holds.
const MEMORY_BYTES: u64 = 16 << 20;

/// Makes the daemon of the first executor of `mesh` known by a record that says that `leaving` does.
fn publish(mesh: &TestMesh, mut site: Site, leaving: Option<Departure>) {
    site.leaving = leaving;
    let ingress = &mesh.ingress;
    ingress
        .mesh
        .update_directory(|directory| directory.put(site));
}

/// Returns a daemon that has just started beside the first backend server of `mesh`, and its search for the server.
fn start_again(mesh: &TestMesh) -> (Rc<LocalExecutor>, Rc<BackendDiscovery>) {
    let policy = ServicePolicy {
        health_path: Arc::from(HEALTH_PATH),
        connections: 10,
    };
    let services = [(service("desk"), policy)].into_iter().collect();
    let limits = CallerLimits::default();
    let table = RouteTable::new(Version(2), vec![route("safe", true)], services, limits);
    mesh.ingress.install(Arc::new(table));
    let events = Rc::new(EventLog::new(Arc::from("again"), spdlog::default_logger()));
    let options = ExecutorOptions::new(names(), MEMORY_BYTES);
    let executor = LocalExecutor::new(options, mesh.trackers[0].clone(), events.clone());
    let discovery = BackendDiscovery {
        backend_address: mesh.backends[0],
        own_address: mesh.addresses[0],
        service: service("desk"),
        names: names(),
        ingress: mesh.ingress.clone(),
        executor: executor.clone(),
        events,
        knows_sites: Rc::new(|| false),
        checked: watch::Sender::new(false),
    };
    (executor, Rc::new(discovery))
}

fn record(mesh: &TestMesh) -> Site {
    let get = |directory: &Directory| directory.get(mesh.addresses[0]).cloned();
    mesh.ingress.mesh.with_directory(get).expect("a record")
}

/// Starts a daemon beside the backend server of `mesh`, whose record says that `leaving` does, and lets it find the server.
async fn restart(mesh: &TestMesh, leaving: Option<Departure>) -> Rc<LocalExecutor> {
    publish(mesh, record(mesh), leaving);
    let (executor, discovery) = start_again(mesh);
    discovery.run().await;
    executor
}

fn departure(started_ms: u64) -> Departure {
    Departure {
        identity: Arc::from("life-1"),
        started_ms: Some(started_ms),
    }
}

local_tests! {
    server_that_serves_is_not_found_again {
        let mesh = TestMesh::new(&[BackendBehaviour::Succeed]).await;
        let executor = restart(&mesh, None).await;
        assert!(executor.serving().is_some());
    }

    server_that_had_left_is_used_again_after_a_restart {
        let mesh = TestMesh::new(&[BackendBehaviour::Succeed]).await;
        let executor = restart(&mesh, Some(departure(1))).await;
        assert!(executor.serving().is_none());
        let late = announcement(mesh.backends[0], 9, ServingState::Ready);
        let late = Announcement { started_ms: Some(1), ..late };
        assert_eq!(executor.apply_announcement(&late), AnnouncementOutcome::Stale);
        assert!(executor.serving().is_none());
    }

    // Guards against DRAIN: a late announcement came before the records, and the departure in them was not heard.
    departure_is_passed_over_behind_an_early_announcement {
        let mesh = TestMesh::new(&[BackendBehaviour::Succeed]).await;
        let site = record(&mesh);
        mesh.ingress.mesh.update_directory(|directory| directory.remove(site.address));
        let (executor, discovery) = start_again(&mesh);
        let late = announcement(mesh.backends[0], 9, ServingState::Ready);
        executor.apply_announcement(&Announcement { started_ms: Some(1), ..late });
        assert!(executor.serving().is_some());
        let search = spawn_local(discovery.run());
        yield_now().await;
        publish(&mesh, site, Some(departure(1)));
        until(|| search.is_finished()).await;
        assert!(executor.serving().is_none());
    }

    next_start_under_the_same_identity_is_not_used {
        let mesh = TestMesh::new(&[BackendBehaviour::Succeed]).await;
        let executor = restart(&mesh, Some(departure(1))).await;
        let next = announcement(mesh.backends[0], 1, ServingState::Ready);
        let next = Announcement { started_ms: Some(2), ..next };
        assert_eq!(executor.apply_announcement(&next), AnnouncementOutcome::NewInstance);
        assert!(executor.serving().is_some());
    }
}
