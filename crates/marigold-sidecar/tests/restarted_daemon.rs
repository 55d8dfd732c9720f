//! What a daemon that starts again knows of its backend server.

mod common;

use std::rc::Rc;
use std::sync::Arc;

use common::test_mesh::{BackendBehaviour, HEALTH_PATH, TestMesh, route};
use common::{announcement, local_tests, names, service};
use marigold_dispatch::{
    Announcement, AnnouncementOutcome, CallerLimits, Departure, RouteTable, ServicePolicy,
    ServingState,
};
use marigold_sidecar::control::BackendDiscovery;
use marigold_sidecar::events::EventLog;
use marigold_sidecar::executor::{ExecutorOptions, LocalExecutor};
use marigold_types::Version;
use tokio::sync::watch;

/// Limit on the bodies that the executor holds.
const MEMORY_BYTES: u64 = 16 << 20;

/// Starts a daemon beside the backend server of `mesh`, whose record says that `leaving` does, and lets it find the server.
async fn restart(mesh: &TestMesh, leaving: Option<Departure>) -> Rc<LocalExecutor> {
    let policy = ServicePolicy {
        health_path: Arc::from(HEALTH_PATH),
        connections: 10,
    };
    let services = [(service("desk"), policy)].into_iter().collect();
    let limits = CallerLimits::default();
    let table = RouteTable::new(Version(2), vec![route("safe", true)], services, limits);
    mesh.ingress.install(Arc::new(table));
    mesh.ingress.mesh.update_directory(|directory| {
        let mut site = directory.get(mesh.addresses[0]).cloned().expect("a record");
        site.leaving = leaving;
        directory.put(site);
    });
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
    Rc::new(discovery).run().await;
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

    next_start_under_the_same_identity_is_not_used {
        let mesh = TestMesh::new(&[BackendBehaviour::Succeed]).await;
        let executor = restart(&mesh, Some(departure(1))).await;
        let next = announcement(mesh.backends[0], 1, ServingState::Ready);
        let next = Announcement { started_ms: Some(2), ..next };
        assert_eq!(executor.apply_announcement(&next), AnnouncementOutcome::NewInstance);
        assert!(executor.serving().is_some());
    }
}
