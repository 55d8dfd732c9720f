//! The stand-in for a backend server: its run counts, its refusals, and its injected faults.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use marigold_standin::backend::{
    BackendControl, BackendExit, BackendPlan, BackendStandin, HealthMode, LOAD_ID, LOAD_SHED,
    ServiceTime, pattern,
};
use marigold_types::{Interval, SlotCount};

type Caller = Client<HttpConnector, Full<Bytes>>;

fn caller() -> Caller {
    Client::builder(TokioExecutor::new()).build_http()
}

fn plan() -> BackendPlan {
    BackendPlan::new("dispatch-desk".parse().unwrap())
}

/// Returns a plan whose requests run for ten minutes, far longer than a test, so that they end only by
/// cancellation, deadline or crash.
fn slow_plan() -> BackendPlan {
    BackendPlan {
        time: ServiceTime::Fixed(Interval::from_millis(600_000)),
        ..plan()
    }
}

async fn send(
    caller: &Caller,
    address: SocketAddr,
    path: &str,
    id: &str,
) -> Result<Response<Bytes>, hyper_util::client::legacy::Error> {
    let request = Request::post(format!("http://{address}{path}"))
        .header(LOAD_ID, id)
        .body(Full::from("body"))
        .unwrap();
    let (head, body) = caller.request(request).await?.into_parts();
    let body = body.collect().await.unwrap().to_bytes();
    Ok(Response::from_parts(head, body))
}

async fn get(address: SocketAddr, path: &str) -> Response<Bytes> {
    let request = Request::get(format!("http://{address}{path}"))
        .body(Full::default())
        .unwrap();
    let (head, body) = caller().request(request).await.unwrap().into_parts();
    Response::from_parts(head, body.collect().await.unwrap().to_bytes())
}

/// Waits until the stand-in has started `runs` requests.
async fn wait_for_runs(standin: &BackendStandin, runs: u64) {
    while standin.state().report("").total < runs {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn runs_are_counted_by_load_id() {
    let standin = BackendStandin::start(plan()).await.unwrap();
    for id in ["a-1", "a-2", "a-1", "b-1"] {
        let answer = send(&caller(), standin.address(), "/x", id).await.unwrap();
        assert_eq!(answer.body(), id);
        assert_eq!(answer.headers()[LOAD_ID], id);
    }
    let report: marigold_standin::backend::RunReport =
        serde_json::from_slice(get(standin.address(), "/runs?prefix=a-").await.body()).unwrap();
    assert_eq!(report.total, 4);
    assert_eq!(report.loads.len(), 2);
    assert_eq!(report.loads["a-1"], 2);
    assert_eq!(report.loads["a-2"], 1);
}

#[tokio::test]
async fn shed_request_does_not_run() {
    let no_slots = BackendPlan {
        slots: SlotCount(0),
        ..plan()
    };
    let standin = BackendStandin::start(no_slots).await.unwrap();
    let answer = send(&caller(), standin.address(), "/x", "a").await.unwrap();
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers().contains_key(LOAD_SHED));
    assert_eq!(standin.state().report("").total, 0);
    assert_eq!(standin.state().shed(), 1);
}

#[tokio::test]
async fn draining_refuses_new_requests() {
    let standin = BackendStandin::start(plan()).await.unwrap();
    standin.state().control(&BackendControl {
        draining: Some(true),
        ..BackendControl::default()
    });
    let answer = send(&caller(), standin.address(), "/x", "a").await.unwrap();
    assert!(answer.headers().contains_key(LOAD_SHED));
    let health = get(standin.address(), "/health").await;
    assert_eq!(health.status(), StatusCode::SERVICE_UNAVAILABLE);
}

#[tokio::test]
async fn cold_start_refuses_requests() {
    let cold = BackendPlan {
        cold_start: Interval::from_millis(600_000),
        ..plan()
    };
    let standin = BackendStandin::start(cold).await.unwrap();
    let answer = send(&caller(), standin.address(), "/x", "a").await.unwrap();
    assert!(answer.headers().contains_key(LOAD_SHED));
}

#[tokio::test]
async fn health_mode_overrides_actual_state() {
    let standin = BackendStandin::start(plan()).await.unwrap();
    standin.state().control(&BackendControl {
        draining: Some(true),
        health: Some(HealthMode::AlwaysWell),
        ..BackendControl::default()
    });
    let health = get(standin.address(), "/health").await;
    assert_eq!(health.status(), StatusCode::OK);
}

#[tokio::test]
async fn closed_connection_cancels_request() {
    let standin = BackendStandin::start(slow_plan()).await.unwrap();
    let address = standin.address();
    let call = tokio::spawn(async move { send(&caller(), address, "/x", "a").await });
    wait_for_runs(&standin, 1).await;
    call.abort();
    while standin.state().cancelled() == 0 {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn deadline_cancels_request() {
    let standin = BackendStandin::start(slow_plan()).await.unwrap();
    let request = Request::get(format!("http://{}/x", standin.address()))
        .header("marigold-deadline-ms", "1")
        .body(Full::default())
        .unwrap();
    let answer = caller().request(request).await.unwrap();
    assert_eq!(answer.status(), StatusCode::GATEWAY_TIMEOUT);
}

#[tokio::test]
async fn crash_aborts_every_connection() {
    let mut standin = BackendStandin::start(slow_plan()).await.unwrap();
    let address = standin.address();
    let running = tokio::spawn(async move { send(&caller(), address, "/x", "a").await });
    wait_for_runs(&standin, 1).await;
    assert!(send(&caller(), address, "/crash", "b").await.is_err());
    assert!(running.await.unwrap().is_err());
    assert_eq!(standin.ended().await, BackendExit::Crashed);
    assert!(send(&caller(), address, "/x", "c").await.is_err());
    assert_eq!(standin.state().report("").total, 2);
}

#[tokio::test]
async fn crashed_server_restarts() {
    let restarting = BackendPlan {
        restart: Some(Interval::from_millis(0)),
        ..plan()
    };
    let standin = BackendStandin::start(restarting).await.unwrap();
    let address = standin.address();
    assert!(send(&caller(), address, "/crash", "a").await.is_err());
    while send(&caller(), address, "/x", "b").await.is_err() {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn silenced_connection_does_not_affect_new_one() {
    let standin = BackendStandin::start(plan()).await.unwrap();
    let old = caller();
    send(&old, standin.address(), "/x", "a").await.unwrap();
    standin.state().control(&BackendControl {
        silence: true,
        ..BackendControl::default()
    });
    let address = standin.address();
    let stuck = tokio::spawn(async move { send(&old, address, "/x", "b").await });
    let answer = send(&caller(), address, "/x", "c").await.unwrap();
    assert_eq!(answer.body(), "c");
    assert!(!stuck.is_finished());
    stuck.abort();
}

#[tokio::test]
async fn blob_streams_complete_pattern() {
    let standin = BackendStandin::start(plan()).await.unwrap();
    let answer = get(standin.address(), "/classgit/blob/200001").await;
    assert_eq!(*answer.body(), pattern(0, 200_001));
}

#[tokio::test]
async fn push_returns_digest_of_body() {
    let standin = BackendStandin::start(plan()).await.unwrap();
    let answer = send(&caller(), standin.address(), "/classgit/push", "a").await;
    let digest = marigold_types::Digest::of(b"body").to_string();
    assert_eq!(*answer.unwrap().body(), digest);
}

#[tokio::test]
async fn start_fails_if_port_is_in_use() {
    let first = BackendStandin::start(plan()).await.unwrap();
    let second = BackendPlan {
        listen: first.address(),
        ..plan()
    };
    let error = BackendStandin::start(second).await.err().unwrap();
    assert_eq!(error.step, "listen");
}

#[tokio::test]
async fn malformed_control_order_is_refused() {
    let standin = BackendStandin::start(plan()).await.unwrap();
    let answer = send(&caller(), standin.address(), "/control", "a").await;
    assert_eq!(answer.unwrap().status(), StatusCode::BAD_REQUEST);
}
