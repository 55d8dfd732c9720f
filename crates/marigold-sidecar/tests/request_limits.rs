//! What the executor hears of the limits that a backend server names, and what callers see of it.

mod common;

use std::sync::Arc;

use common::test_mesh::{BackendBehaviour, CUT_MARK, HANG_MARK, HEALTH_PATH, TestMesh, get, until};
use common::{announcement, local_tests};
use futures_util::future::join;
use marigold_dispatch::{Announcement, ServingState};
use marigold_sidecar::link::CallHandler;
use marigold_types::SlotCount;
use tokio::task::LocalSet;

const CONNECTION_CLOSE: &str = "Connection: close\r\n";
/// Slots of each backend server of a [`TestMesh`].
const SLOTS: SlotCount = SlotCount(2);

async fn mesh_naming(behaviour: BackendBehaviour, fields: &'static str) -> TestMesh {
    let mesh = TestMesh::new(&[behaviour]).await;
    *mesh.extra_fields.borrow_mut() = fields;
    mesh
}

async fn send(mesh: &TestMesh) -> String {
    mesh.send(&get("/safe/a", CONNECTION_CLOSE)).await
}

/// Returns whether all slots count as busy although no request runs.
fn is_limited(mesh: &TestMesh) -> bool {
    let report = mesh.executors[0].report();
    report.busy == report.slots
}

/// Sends a request to a backend server that names `fields`, which must reach the caller as they are.
async fn is_limited_by(fields: &'static str) -> bool {
    let mesh = mesh_naming(BackendBehaviour::Succeed, fields).await;
    let response = send(&mesh).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert!(response.contains(fields), "{response}");
    is_limited(&mesh)
}

/// Names each way to name a limit, and whether one holds then.
macro_rules! field_tests {
    ($($name:ident: $fields:literal => $limited:literal;)*) => {$(
        #[tokio::test]
        async fn $name() {
            assert_eq!(LocalSet::new().run_until(is_limited_by($fields)).await, $limited);
        }
    )*};
}

field_tests! {
    limit_is_not_heard: "X-Limit: 2\r\n" => true;
    decimal_limit_is_not_heard: "x-limit: 0.5\r\n" => true;
    limit_of_zero_is_not_heard: "X-Limit: 0\r\n" => true;
    lower_of_two_limits_is_not_heard: "X-Limit: 1e9\r\nX-Limit: 2\r\n" => true;
    limit_that_is_no_number_holds: "X-Limit: many\r\n" => false;
    negative_limit_holds: "X-Limit: -1\r\n" => false;
    empty_limit_holds: "X-Limit: \r\n" => false;
    huge_limit_holds: "X-Limit: 1e300\r\n" => false;
}

local_tests! {
    requests_beyond_the_limit_are_sent_on {
        let mesh = mesh_naming(BackendBehaviour::Succeed, "X-Limit: 0.5\r\n").await;
        send(&mesh).await;
        let response = send(&mesh).await;
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
        assert!(response.contains("Retry-After: "), "{response}");
        assert_eq!(mesh.arrivals(), 1);
    }

    limit_holds_after_it_is_no_longer_named {
        let mesh = mesh_naming(BackendBehaviour::Succeed, "X-Limit: 20\r\n").await;
        send(&mesh).await;
        *mesh.extra_fields.borrow_mut() = "";
        while is_limited(&mesh) {
            send(&mesh).await;
        }
        let arrivals = mesh.arrivals();
        for _ in 0..50 {
            assert!(send(&mesh).await.starts_with("HTTP/1.1 200"));
        }
        assert_eq!(mesh.arrivals(), arrivals + 50);
    }

    limit_in_a_rejection_is_not_heard {
        let mesh = mesh_naming(BackendBehaviour::Reject, "X-Limit: 0.5\r\n").await;
        send(&mesh).await;
        assert!(is_limited(&mesh));
    }

    rejection_that_names_no_limit_ends_it {
        let mesh = mesh_naming(BackendBehaviour::Reject, "X-Limit: 1\r\n").await;
        send(&mesh).await;
        *mesh.extra_fields.borrow_mut() = "";
        let arrivals = mesh.arrivals();
        while mesh.arrivals() == arrivals {
            send(&mesh).await;
        }
        assert!(is_limited(&mesh));
    }

    limit_of_the_previous_instance_holds {
        let mesh = mesh_naming(BackendBehaviour::Succeed, "X-Limit: 0.5\r\n").await;
        send(&mesh).await;
        let same = announcement(mesh.backends[0], 2, ServingState::Ready);
        mesh.executors[0].apply_announcement(&same);
        assert!(is_limited(&mesh));
        // It starts again under its identity.
        let next = Announcement {
            started_ms: Some(2),
            ..announcement(mesh.backends[0], 1, ServingState::Ready)
        };
        mesh.executors[0].apply_announcement(&next);
        assert!(!is_limited(&mesh));
        send(&mesh).await;
        assert!(is_limited(&mesh));
        let other = Announcement { identity: Arc::from("life-2"), ..next };
        mesh.executors[0].apply_announcement(&other);
        assert!(!is_limited(&mesh));
    }

    slots_stay_unused_until_the_first_response_after_a_restart {
        let mesh = TestMesh::new(&[BackendBehaviour::HangOnMark]).await;
        mesh.executors[0].set_health_path(Box::new(|| Some(Arc::from(HEALTH_PATH))));
        let next = Announcement {
            started_ms: Some(2),
            ..announcement(mesh.backends[0], 7, ServingState::Ready)
        };
        mesh.executors[0].apply_announcement(&next);
        let long = get(&format!("/safe{HANG_MARK}"), CONNECTION_CLOSE);
        tokio::select! {
            _ = mesh.send(&long) => panic!("the caller gave up first"),
            response = async {
                until(|| mesh.arrivals() == 1).await;
                send(&mesh).await
            } => assert!(response.starts_with("HTTP/1.1 200"), "{response}"),
        }
    }

    slots_stay_unused_while_a_backend_server_resets_connections_after_a_restart {
        let mesh = TestMesh::new(&[BackendBehaviour::HangOnMark]).await;
        let next = Announcement {
            started_ms: Some(2),
            ..announcement(mesh.backends[0], 7, ServingState::Ready)
        };
        mesh.executors[0].apply_announcement(&next);
        mesh.send(&get(&format!("/once{CUT_MARK}"), CONNECTION_CLOSE)).await;
        let long = get(&format!("/safe{HANG_MARK}"), CONNECTION_CLOSE);
        tokio::select! {
            _ = join(mesh.send(&long), mesh.send(&long)) => panic!("callers gave up first"),
            () = until(|| mesh.arrivals() == 3) => {}
        }
    }

    limit_in_a_health_check_after_a_restart_is_not_heard {
        let mesh = mesh_naming(BackendBehaviour::Succeed, "X-Limit: 0.5\r\n").await;
        mesh.executors[0].set_health_path(Box::new(|| Some(Arc::from(HEALTH_PATH))));
        let next = Announcement {
            started_ms: Some(2),
            ..announcement(mesh.backends[0], 7, ServingState::Ready)
        };
        mesh.executors[0].apply_announcement(&next);
        until(|| is_limited(&mesh)).await;
        assert_eq!(mesh.arrivals(), 0);
    }

    daemon_that_starts_sends_many_requests_before_it_knows_the_limit {
        let mesh = TestMesh::new(&[BackendBehaviour::Hang]).await;
        let next = Announcement {
            started_ms: Some(2),
            ..announcement(mesh.backends[0], 7, ServingState::Ready)
        };
        mesh.executors[0].apply_announcement(&next);
        // Estimates of waits and times to return do not change for these moments.
        assert_eq!(mesh.executors[0].report().slots, SLOTS);
        let requests = ["/safe/a", "/safe/b"].map(|path| get(path, CONNECTION_CLOSE));
        let [first, second] = requests.each_ref().map(|request| mesh.send(request));
        // The second may be queued before the bytes of the first arrive.
        let is_queued = || mesh.executors[0].report().queued == SlotCount(1);
        tokio::select! {
            _ = join(first, second) => panic!("callers gave up first"),
            () = until(|| is_queued() && mesh.arrivals() > 0) => {}
        }
        assert_eq!(mesh.arrivals(), 1);
    }
}
