//! From a caller's socket through ingress and executor to a backend server and back.

mod common;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use common::test_mesh::{BackendBehaviour, TestMesh, get, until};
use common::{announcement, listener};
use marigold_dispatch::ServingState;
use marigold_sidecar::events::EventLog;
use marigold_sidecar::ingress::{Ingress, Tuning, listen};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::Instant;

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
                let mesh = TestMesh::new(&[$(BackendBehaviour::$script),*]).await;
                let answer = mesh.send(&get($path, LAST)).await;
                assert!(answer.starts_with(concat!("HTTP/1.1 ", $status)), "{answer}");
                assert_eq!(mesh.arrivals(), $arrivals);
            }
        )*}
    };
}

ends! {
    answered: [Succeed], "/safe/a" => "200", 1;
    unknown_route: [Succeed], "/other/a" => "404", 0;
    failure_of_one_is_repeated_elsewhere: [Fail, Fail], "/safe/a" => "500", 2;
    failure_is_not_repeated_where_it_may_run_once: [Fail, Fail], "/once/a" => "500", 1;
    attempts_are_bounded: [Disconnect, Disconnect, Disconnect], "/safe/a" => "502", 2;
    broken_off_and_may_run_once: [Disconnect, Disconnect], "/once/a" => "502", 1;
    not_run_goes_elsewhere: [Reject, Reject], "/once/a" => "503", 2;
    nobody_serves: [], "/safe/a" => "503", 0;
}

local! {
    the_origin_is_set_and_the_answer_is_whole {
        let mesh = TestMesh::new(&[BackendBehaviour::Succeed]).await;
        let answer = mesh.send(&get("/safe/a", "X-Origin: forged\r\nConnection: close\r\n")).await;
        assert!(answer.ends_with("/safe/a for ledger"), "{answer}");
    }

    pipelined_answers_come_in_order {
        let mesh = TestMesh::new(&[BackendBehaviour::Succeed, BackendBehaviour::Succeed]).await;
        let requests: String = (0..5)
            .map(|i| get(&format!("/safe/{i}"), if i == 4 { LAST } else { "" }))
            .collect();
        let answers = mesh.send(&requests).await;
        let places: Vec<_> = (0..5)
            .map(|i| answers.find(&format!("/safe/{i} for")).expect("an answer"))
            .collect();
        assert!(places.is_sorted(), "{answers}");
    }

    a_refusal_says_when_to_come_back {
        let mesh = TestMesh::new(&[BackendBehaviour::Reject]).await;
        let answer = mesh.send(&get("/safe/a", LAST)).await;
        let line = answer.lines().find_map(|line| line.strip_prefix("Retry-After: "));
        let seconds: f64 = line.expect("a time").parse().expect("seconds");
        // A server that sheds at random is worth another try at once.
        assert!(seconds <= 0.05, "{answer}");
    }

    a_leaving_backend_server_gets_nothing {
        let mesh = TestMesh::new(&[BackendBehaviour::Succeed]).await;
        let news = announcement(mesh.backends[0], 2, ServingState::Draining);
        mesh.executors[0].apply_announcement(&news);
        let answer = mesh.send(&get("/safe/a", LAST)).await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert_eq!(mesh.arrivals(), 0);
    }

    a_caller_that_leaves_frees_the_backend_server {
        let mesh = TestMesh::new(&[BackendBehaviour::Hang]).await;
        let mut stream = TcpStream::connect(mesh.callers).await.expect("the ingress");
        stream.write_all(get("/safe/a", "").as_bytes()).await.expect("a reader");
        until(|| mesh.arrivals() == 1).await;
        drop(stream);
        until(|| mesh.disconnects.get() == 1).await;
    }

    a_deadline_ends_the_wait {
        let mesh = TestMesh::new(&[BackendBehaviour::Hang]).await;
        let answer = mesh.send(&get("/once/a", "X-Left: 100\r\nConnection: close\r\n")).await;
        assert!(answer.starts_with("HTTP/1.1 504"), "{answer}");
    }

    a_failure_is_the_answer_when_the_repeat_runs_out_of_time {
        let mesh = TestMesh::new(&[BackendBehaviour::Fail, BackendBehaviour::Hang]).await;
        let hangs = mesh.addresses[1];
        let now = Instant::now();
        // The one that fails is asked first.
        mesh.ingress.mesh.with_placement(|placement| {
            placement.executor_mut(hangs, now).record_loss(1.0, now);
        });
        let answer = mesh.send(&get("/safe/a", "X-Left: 200\r\nConnection: close\r\n")).await;
        assert!(answer.starts_with("HTTP/1.1 500"), "{answer}");
        assert_eq!(mesh.arrivals(), 2);
    }

    a_changed_bound_on_repeats_holds_at_once {
        let mesh = TestMesh::new(&[BackendBehaviour::Fail, BackendBehaviour::Fail]).await;
        mesh.ingress.mesh.tune(Tuning {
            byte_cost: 0.0,
            retry_ratio: 0.0,
            retry_slack: 0.0,
            retry_window: Duration::from_secs(10),
        });
        mesh.send(&get("/safe/a", LAST)).await;
        assert_eq!(mesh.arrivals(), 1);
    }

    without_a_configuration_nothing_is_unknown {
        let events = Rc::new(EventLog::new(Arc::from("test"), spdlog::default_logger()));
        let mesh = TestMesh::new(&[]).await;
        let options = mesh.ingress.options.clone();
        let fresh = Ingress::new(options, mesh.ingress.mesh.clone(), events);
        let (socket, callers) = listener().await;
        spawn_local(listen(fresh, socket));
        let mesh = TestMesh { callers, ..mesh };
        let answer = mesh.send(&get("/other/a", LAST)).await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    }

    a_leaving_daemon_asks_callers_to_connect_elsewhere {
        let mesh = TestMesh::new(&[BackendBehaviour::Succeed]).await;
        mesh.ingress.begin_shutdown();
        let answer = mesh.send(&get("/safe/a", "")).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        assert!(answer.contains("Connection: close"), "{answer}");
    }
}
