//! Requests of callers through ingress and executor to a backend server, over real sockets.

mod common;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use common::test_mesh::{BackendBehaviour, FAILURE_DELAY, TestMesh, get, until};
use common::{announcement, listener, local_tests};
use marigold_dispatch::ServingState;
use marigold_sidecar::events::EventLog;
use marigold_sidecar::ingress::{Ingress, Tuning, listen};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::Instant;

const CONNECTION_CLOSE: &str = "Connection: close\r\n";

/// Each case lists the behaviour of the backend servers, the path, the expected status, and the number of
/// requests that backend servers receive.
macro_rules! outcome_tests {
    ($($name:ident: [$($behaviour:ident),*], $path:literal => $status:literal, $arrivals:literal;)*) => {
        local_tests! {$(
            $name {
                let mesh = TestMesh::new(&[$(BackendBehaviour::$behaviour),*]).await;
                let response = mesh.send(&get($path, CONNECTION_CLOSE)).await;
                assert!(response.starts_with(concat!("HTTP/1.1 ", $status)), "{response}");
                assert_eq!(mesh.arrivals(), $arrivals);
            }
        )*}
    };
}

outcome_tests! {
    success: [Succeed], "/safe/a" => "200", 1;
    unknown_route: [Succeed], "/other/a" => "404", 0;
    failure_is_retried_on_another_backend_server: [Fail, Fail], "/safe/a" => "500", 2;
    failure_of_a_non_idempotent_request_is_not_retried: [Fail, Fail], "/once/a" => "500", 1;
    retries_are_limited: [Disconnect, Disconnect, Disconnect], "/safe/a" => "502", 2;
    disconnect_during_a_non_idempotent_request: [Disconnect, Disconnect], "/once/a" => "502", 1;
    rejected_request_is_retried_on_another_backend_server: [Reject, Reject], "/once/a" => "503", 2;
    no_backend_server: [], "/safe/a" => "503", 0;
}

local_tests! {
    origin_is_set_by_the_daemon {
        let mesh = TestMesh::new(&[BackendBehaviour::Succeed]).await;
        let response = mesh.send(&get("/safe/a", "X-Origin: forged\r\nConnection: close\r\n")).await;
        assert!(response.ends_with("/safe/a for ledger"), "{response}");
    }

    pipelined_responses_are_in_order {
        let mesh = TestMesh::new(&[BackendBehaviour::Succeed, BackendBehaviour::Succeed]).await;
        let requests: String = (0..5)
            .map(|i| get(&format!("/safe/{i}"), if i == 4 { CONNECTION_CLOSE } else { "" }))
            .collect();
        let responses = mesh.send(&requests).await;
        let positions: Vec<_> = (0..5)
            .map(|i| responses.find(&format!("/safe/{i} for")).expect("a response"))
            .collect();
        assert!(positions.is_sorted(), "{responses}");
    }

    rejection_has_a_short_retry_delay {
        let mesh = TestMesh::new(&[BackendBehaviour::Reject]).await;
        let response = mesh.send(&get("/safe/a", CONNECTION_CLOSE)).await;
        let line = response.lines().find_map(|line| line.strip_prefix("Retry-After: "));
        let seconds: f64 = line.expect("a time").parse().expect("seconds");
        // The backend server rejects requests at random, so an immediate retry may succeed.
        assert!(seconds <= 0.05, "{response}");
    }

    draining_backend_server_gets_no_requests {
        let mesh = TestMesh::new(&[BackendBehaviour::Succeed]).await;
        let draining = announcement(mesh.backends[0], 2, ServingState::Draining);
        mesh.executors[0].apply_announcement(&draining);
        let response = mesh.send(&get("/safe/a", CONNECTION_CLOSE)).await;
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
        assert_eq!(mesh.arrivals(), 0);
    }

    disconnect_of_the_caller_closes_the_connection_to_the_backend_server {
        let mesh = TestMesh::new(&[BackendBehaviour::Hang]).await;
        let mut stream = TcpStream::connect(mesh.callers).await.expect("the ingress");
        stream.write_all(get("/safe/a", "").as_bytes()).await.expect("a reader");
        until(|| mesh.arrivals() == 1).await;
        drop(stream);
        until(|| mesh.disconnects.get() == 1).await;
    }

    passed_deadline_is_a_timeout {
        let mesh = TestMesh::new(&[BackendBehaviour::Hang]).await;
        let response = mesh.send(&get("/once/a", "X-Left: 100\r\nConnection: close\r\n")).await;
        assert!(response.starts_with("HTTP/1.1 504"), "{response}");
    }

    retry_is_handed_as_much_time_as_the_first_attempt {
        let mesh = TestMesh::new(&[BackendBehaviour::Fail, BackendBehaviour::Fail]).await;
        let limit = 5_000;
        mesh.send(&get("/safe/a", &format!("X-Left: {limit}\r\nConnection: close\r\n"))).await;
        let times_left = mesh.times_left.borrow();
        let delay = u64::try_from(FAILURE_DELAY.as_millis()).expect("a short delay");
        assert!(times_left[0] < limit && times_left[1] + delay <= times_left[0], "{times_left:?}");
    }

    failure_is_returned_if_the_retry_times_out {
        let mesh = TestMesh::new(&[BackendBehaviour::Fail, BackendBehaviour::Hang]).await;
        let hanging = mesh.addresses[1];
        let now = Instant::now();
        // Makes the failing executor the first choice.
        mesh.ingress.mesh.with_placement(|placement| {
            placement.executor_mut(hanging, now).record_loss(1.0, now);
        });
        let response = mesh.send(&get("/safe/a", "X-Left: 200\r\nConnection: close\r\n")).await;
        assert!(response.starts_with("HTTP/1.1 500"), "{response}");
        assert_eq!(mesh.arrivals(), 2);
    }

    changed_retry_limit_takes_effect_immediately {
        let mesh = TestMesh::new(&[BackendBehaviour::Fail, BackendBehaviour::Fail]).await;
        mesh.ingress.mesh.tune(Tuning {
            byte_cost: 0.0,
            decisions: marigold_dispatch::Decisions::default(),
            retry_ratio: 0.0,
            retry_slack: 0.0,
            retry_window: Duration::from_secs(10),
        });
        mesh.send(&get("/safe/a", CONNECTION_CLOSE)).await;
        assert_eq!(mesh.arrivals(), 1);
    }

    unknown_route_without_a_configuration_is_unavailable {
        let events = Rc::new(EventLog::new(Arc::from("test"), spdlog::default_logger()));
        let mesh = TestMesh::new(&[]).await;
        let options = mesh.ingress.options.clone();
        let unconfigured = Ingress::new(options, mesh.ingress.mesh.clone(), events);
        let (socket, callers) = listener().await;
        spawn_local(listen(unconfigured, socket));
        let mesh = TestMesh { callers, ..mesh };
        let response = mesh.send(&get("/other/a", CONNECTION_CLOSE)).await;
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    }

    daemon_closes_callers_connections_during_shutdown {
        let mesh = TestMesh::new(&[BackendBehaviour::Succeed]).await;
        mesh.ingress.lifecycle.begin_shutdown();
        let response = mesh.send(&get("/safe/a", "")).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        assert!(response.contains("Connection: close"), "{response}");
    }
}
