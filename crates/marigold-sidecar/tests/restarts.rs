//! Planned restarts of a daemon whose callers have no other way in, see docs/design/restarts.md.

mod common;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use common::test_mesh::{BackendBehaviour, TestMesh, get, route, until};
use common::{TEST_TIMEOUT, listener, local_tests};
use futures_util::future::{join, join_all};
use marigold_dispatch::ShutdownStage;
use marigold_sidecar::events::EventLog;
use marigold_sidecar::ingress::{Ingress, listen};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

const CLOSE: &str = "Connection: close\r\n";
/// Runs after which the longest run time of a kind is known.
const KNOWN_RUNS: usize = 10;
const LONG_RUN: Duration = Duration::from_secs(5);
/// Requests at once, some of them at each of two backend servers.
const CONCURRENT: usize = 6;
/// Requests are accepted for half of it.
const GRACE: Duration = Duration::from_secs(2);
/// The restart of a daemon takes this long at least.
const RESTART_SECONDS: f64 = 1.0;

/// Returns a mesh in which the run times of `safe` requests are known, and whose ingress is told to stop.
async fn stopping_mesh() -> TestMesh {
    let mesh = TestMesh::new(&[BackendBehaviour::SucceedSlowly]).await;
    for _ in 0..KNOWN_RUNS {
        mesh.send(&get("/safe/known", CLOSE)).await;
    }
    mesh.ingress.lifecycle.set_grace(GRACE);
    mesh.ingress.lifecycle.begin_shutdown();
    mesh
}

fn retry_after(response: &str) -> f64 {
    let mut lines = response.lines();
    let field = lines.find_map(|line| line.strip_prefix("Retry-After: "));
    field.expect("a delay").parse().expect("seconds")
}

local_tests! {
    refused_requests_keep_a_daemon_that_has_nothing_in_flight {
        let mesh = stopping_mesh().await;
        let lifecycle = &mesh.ingress.lifecycle;
        let began = Instant::now();
        lifecycle.record_closed();
        while lifecycle.stage() != ShutdownStage::Ended {
            mesh.send(&get("/safe/a", CLOSE)).await;
            sleep(Duration::from_millis(20)).await;
        }
        // The rest of the grace period is not needed.
        assert!(began.elapsed() < GRACE.mul_f64(0.85), "{:?}", began.elapsed());
    }

    short_request_is_refused_while_the_daemon_stays_for_another {
        let mesh = stopping_mesh().await;
        let lifecycle = &mesh.ingress.lifecycle;
        let early = lifecycle.open_work(TEST_TIMEOUT);
        until(|| lifecycle.stage() == ShutdownStage::Finishing).await;
        let response = mesh.send(&get("/safe/a", CLOSE)).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        // Nothing is known of this kind.
        let response = mesh.send(&get("/once/a", CLOSE)).await;
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
        drop(early);
        let response = mesh.send(&get("/safe/a", CLOSE)).await;
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    }

    caller_is_told_to_return_before_the_daemon_is_back {
        let mesh = stopping_mesh().await;
        let lifecycle = &mesh.ingress.lifecycle;
        until(|| !lifecycle.stage().accepts_all()).await;
        let response = mesh.send(&get("/safe/a", CLOSE)).await;
        assert!(retry_after(&response) >= RESTART_SECONDS, "{response}");
    }

    request_in_flight_at_a_stop_has_no_second_attempt_in_time {
        let mesh = TestMesh::new(&[BackendBehaviour::Hang, BackendBehaviour::Succeed]).await;
        let kind = route("safe", true).kind;
        // Of a kind with such runs, a response is overdue only after the grace period.
        mesh.ingress.mesh.with_placement(|placement| {
            for _ in 0..KNOWN_RUNS {
                placement.record_run(mesh.addresses[1], &kind, LONG_RUN, 0, Instant::now());
            }
        });
        mesh.ingress.lifecycle.set_grace(GRACE);
        let request = get("/safe/a", CLOSE);
        let stop = async {
            until(|| mesh.arrivals() as usize >= CONCURRENT).await;
            assert!(mesh.ingress.in_flight() > 0, "no request is at the server that hangs");
            mesh.ingress.lifecycle.begin_shutdown();
        };
        let requests = join_all((0..CONCURRENT).map(|_| mesh.send(&request)));
        let (responses, ()) = join(requests, stop).await;
        for response in responses {
            assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        }
    }

    request_is_refused_moments_before_the_first_configuration {
        let mesh = TestMesh::new(&[BackendBehaviour::Succeed]).await;
        let events = Rc::new(EventLog::new(Arc::from("test"), spdlog::default_logger()));
        let ingress = Ingress::new(mesh.ingress.options.clone(), mesh.ingress.mesh.clone(), events);
        let (socket, callers) = listener().await;
        spawn_local(listen(ingress.clone(), socket));
        let table = mesh.ingress.table().expect("a table");
        spawn_local(async move {
            sleep(Duration::from_millis(50)).await;
            ingress.install(table);
        });
        let mesh = TestMesh { callers, ..mesh };
        let response = mesh.send(&get("/safe/a", CLOSE)).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }
}
