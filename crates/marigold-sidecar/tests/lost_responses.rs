//! Requests that run but whose response never arrives.

mod common;

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

use common::local_tests;
use common::test_mesh::{BackendBehaviour, HANG_MARK, HEALTH_PATH, TestMesh, get, until};
use futures_util::future::join_all;
use marigold_sidecar::link::CallHandler;

const CONNECTION_CLOSE: &str = "Connection: close\r\n";
/// Sound requests sent one after another, enough for both backend servers to have run several.
const SOUND_REQUESTS: usize = 40;
/// Requests sent until one of them loses its response.
const MAX_TRIES: usize = 30;

async fn send_sound_requests(mesh: &TestMesh, path: &str) {
    for _ in 0..SOUND_REQUESTS {
        let response = mesh.send(&get(path, CONNECTION_CLOSE)).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }
}

local_tests! {
    idempotent_request_waits_for_a_lost_response_until_its_deadline {
        let behaviours = [BackendBehaviour::HangOnMark, BackendBehaviour::SucceedSlowly];
        let mesh = TestMesh::new(&behaviours).await;
        send_sound_requests(&mesh, "/safe/a").await;
        let path = format!("/safe{HANG_MARK}");
        let request = get(&path, CONNECTION_CLOSE);
        // Placement decides when one of them is sent to the backend server that loses the response.
        for _ in 0..MAX_TRIES {
            if mesh.disconnects.get() > 0 {
                break;
            }
            // As many as leave one slot of the other backend server free.
            let sound = join_all((0..3).map(|_| send_sound_requests(&mesh, "/safe/a")));
            let (response, _) = tokio::join!(mesh.send(&request), sound);
            assert!(response.contains(&format!("{path} for ledger")), "{response}");
        }
        assert!(mesh.disconnects.get() > 0, "no response was lost");
    }

    request_that_runs_long_is_given_up_where_no_other_server_has_room {
        let mesh = TestMesh::new(&[BackendBehaviour::HangOnMark]).await;
        send_sound_requests(&mesh, "/safe/a").await;
        let request = get(&format!("/safe{HANG_MARK}"), CONNECTION_CLOSE);
        let before = mesh.arrivals();
        tokio::select! {
            response = mesh.send(&request) => panic!("the run was given up: {response}"),
            () = async {
                until(|| mesh.arrivals() == before + 1).await;
                send_sound_requests(&mesh, "/safe/a").await;
                until(|| mesh.executors[0].report().busy.0 == 0).await;
            } => {}
        }
        assert_eq!(mesh.disconnects.get(), 0);
    }

    backend_server_that_ends_under_its_only_request_gets_more {
        let mesh = TestMesh::new(&[BackendBehaviour::Hang]).await;
        mesh.executors[0].set_health_path(Box::new(|| Some(Arc::from(HEALTH_PATH))));
        let request = get("/safe/a", CONNECTION_CLOSE);
        tokio::select! {
            _ = mesh.send(&request) => panic!("the caller gave up first"),
            () = until(|| mesh.executors[0].report().slots.0 == 0) => {}
        }
    }

    long_run_takes_the_slots_of_a_backend_server_that_is_alive {
        let mesh = TestMesh::new(&[BackendBehaviour::HangOnMark]).await;
        let health_checks = Rc::new(Cell::new(0));
        let count = health_checks.clone();
        mesh.executors[0].set_health_path(Box::new(move || {
            count.set(count.get() + 1);
            Some(Arc::from(HEALTH_PATH))
        }));
        let request = get(&format!("/safe{HANG_MARK}"), CONNECTION_CLOSE);
        tokio::select! {
            _ = mesh.send(&request) => panic!("the caller gave up first"),
            () = until(|| health_checks.get() == 3) => {}
        }
        assert_ne!(mesh.executors[0].report().slots.0, 0);
    }

    request_that_may_run_once_is_sent_again_after_a_lost_response {
        let mesh = TestMesh::new(&[BackendBehaviour::HangOnMark]).await;
        send_sound_requests(&mesh, "/once/a").await;
        let request = get(&format!("/once{HANG_MARK}"), CONNECTION_CLOSE);
        let before = mesh.arrivals();
        tokio::select! {
            _ = mesh.send(&request) => panic!("the caller gave up first"),
            () = async {
                until(|| mesh.arrivals() == before + 1).await;
                send_sound_requests(&mesh, "/once/a").await;
                // Its slot serves others, but it is not sent again.
                until(|| mesh.executors[0].report().busy.0 == 0).await;
            } => {}
        }
        let sound = u32::try_from(SOUND_REQUESTS).expect("fits");
        assert_eq!(mesh.arrivals(), before + 1 + sound);
    }
}
