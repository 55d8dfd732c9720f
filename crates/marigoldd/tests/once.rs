//! Requests that run at most once, also when daemons fail.

mod support;

use std::net::SocketAddr;
use std::sync::atomic::Ordering;

use marigold_types::Interval;
use support::mesh::SERVICE;
use support::{Backend, Mesh, Reply, http};

async fn key(to: SocketAddr) -> String {
    let path = format!("/.marigold/keys?service={SERVICE}");
    let reply = http(to, "POST", &path, &[], "").await.unwrap();
    assert_eq!(reply.status, 200, "{reply:?}");
    let json: serde_json::Value = serde_json::from_slice(&reply.body).unwrap();
    json["keys"][0].as_str().unwrap().to_owned()
}

async fn send_with_key(to: SocketAddr, path: &str, key: &str, body: &str) -> Reply {
    let headers = [("idempotency-key", key)];
    http(to, "POST", path, &headers, body).await.unwrap()
}

/// Starts three daemons. Only the first has a backend server, so every key names it as executor.
async fn start_mesh(backend: &Backend) -> Mesh {
    let other = Backend::start().await;
    let mut mesh = Mesh::new();
    mesh.add("hall-a", Some(backend.address)).await;
    mesh.add("hall-b", None).await;
    mesh.add("hall-c", None).await;
    mesh.publish();
    mesh.daemons[0].wait_healthy().await;
    drop(other);
    mesh
}

#[tokio::test]
async fn retry_through_another_daemon_gets_the_stored_answer() {
    let backend = Backend::start().await;
    let mesh = start_mesh(&backend).await;
    let key = key(mesh.daemons[1].caller).await;
    let first = send_with_key(mesh.daemons[1].caller, "/write/x", &key, "one").await;
    assert_eq!(
        (first.status, first.header("marigold-stored")),
        (200, ""),
        "{first:?}"
    );
    for daemon in &mesh.daemons {
        let again = send_with_key(daemon.caller, "/write/x", &key, "one").await;
        assert_eq!(again.body, "one");
        assert_eq!(again.header("marigold-stored"), "true");
    }
    assert_eq!(backend.runs("one"), 1);
}

#[tokio::test]
async fn retry_during_the_run_waits_for_its_answer() {
    let backend = Backend::start().await;
    let mesh = start_mesh(&backend).await;
    let key = key(mesh.daemons[1].caller).await;
    let send = |index: usize| {
        let (to, key) = (mesh.daemons[index].caller, key.clone());
        tokio::spawn(async move { send_with_key(to, "/write/hold", &key, "two").await })
    };
    let first = send(1);
    backend.wait_busy(1).await;
    let second = send(2);
    let third = send(0);
    // A retry that arrives after the release gets the stored answer, an earlier one waits for it.
    // There is one run in both cases.
    backend.release();
    for call in [first, second, third] {
        assert_eq!(call.await.unwrap().body, "held");
    }
    assert_eq!(backend.runs("two"), 1);
}

#[tokio::test]
async fn disconnected_caller_does_not_cancel_a_request_with_a_key() {
    let backend = Backend::start().await;
    let mesh = start_mesh(&backend).await;
    let key = key(mesh.daemons[1].caller).await;
    let to = mesh.daemons[1].caller;
    let call = tokio::spawn({
        let key = key.clone();
        async move { send_with_key(to, "/write/hold", &key, "three").await }
    });
    backend.wait_busy(1).await;
    call.abort();
    assert!(call.await.unwrap_err().is_cancelled());
    backend.release();
    backend.wait_busy(0).await;
    let again = send_with_key(mesh.daemons[2].caller, "/write/hold", &key, "three").await;
    assert_eq!(again.body, "held");
    assert_eq!(backend.state.cancelled.load(Ordering::SeqCst), 0);
    assert_eq!(backend.runs("three"), 1);
}

#[tokio::test]
async fn key_is_bound_to_one_request() {
    let backend = Backend::start().await;
    let mesh = start_mesh(&backend).await;
    let key = key(mesh.daemons[1].caller).await;
    send_with_key(mesh.daemons[1].caller, "/write/x", &key, "four").await;
    let other = send_with_key(mesh.daemons[2].caller, "/write/y", &key, "four").await;
    assert_eq!(
        (other.status, other.outcome()),
        (409, "not-run"),
        "{other:?}"
    );
    assert_eq!(backend.total(), 1);
}

#[tokio::test]
async fn backend_server_that_dies_means_unknown_and_no_second_run() {
    let backend = Backend::start().await;
    let mesh = start_mesh(&backend).await;
    let key = key(mesh.daemons[1].caller).await;
    for daemon in &mesh.daemons {
        let reply = send_with_key(daemon.caller, "/write/die", &key, "five").await;
        assert_eq!(reply.outcome(), "unknown", "{reply:?}");
    }
    assert_eq!(backend.runs("five"), 1);
}

#[tokio::test]
async fn request_shed_by_the_backend_server_is_not_run() {
    let backend = Backend::start().await;
    let mesh = start_mesh(&backend).await;
    let key = key(mesh.daemons[1].caller).await;
    for daemon in &mesh.daemons {
        let reply = send_with_key(daemon.caller, "/write/shed", &key, "six").await;
        assert_eq!(
            (reply.outcome(), reply.reason()),
            ("not-run", "overloaded"),
            "{reply:?}"
        );
    }
    assert_eq!(backend.total(), 0);
}

/// Starts two daemons with backend servers, the executor and the witness of each key, and a third
/// without.
async fn start_pair() -> (Backend, Backend, Mesh) {
    let (one, two) = (Backend::start().await, Backend::start().await);
    let mesh = Mesh::start(&[&one, &two], 1).await;
    (one, two, mesh)
}

/// Returns the index of the daemon that `key` names as executor.
fn executor_index(mesh: &Mesh, key: &str) -> usize {
    let secret = &mesh.daemons[0].shared.mesh_key;
    let key = marigold_request::at_most_once::RequestKey::decode(key, secret).unwrap();
    let find = |daemon: &support::Daemon| daemon.shared.local == key.executor;
    mesh.daemons.iter().position(find).unwrap()
}

#[tokio::test]
async fn request_that_a_dead_executor_never_started_is_not_run() {
    let (one, two, mesh) = start_pair().await;
    let key = key(mesh.daemons[2].caller).await;
    mesh.daemons[executor_index(&mesh, &key)].kill();
    for _ in 0..2 {
        let reply = send_with_key(mesh.daemons[2].caller, "/write/x", &key, "six").await;
        assert_eq!(
            (reply.status, reply.outcome()),
            (503, "not-run"),
            "{reply:?}"
        );
    }
    assert_eq!(one.total() + two.total(), 0);
}

#[tokio::test]
async fn silent_executor_leaves_time_for_the_seal() {
    let (one, two) = (Backend::start().await, Backend::start().await);
    let mut mesh = Mesh::new();
    // The silence is detected only after the deadline.
    mesh.settings.request.silence = Interval::from_millis(30_000);
    mesh.add_all(&[&one, &two], 1).await;
    let to = mesh.daemons[2].caller;
    let key = key(to).await;
    // Opens a connection that has already carried a response when the daemon dies.
    let mut first = http(to, "GET", "/read/a", &[], "").await.unwrap();
    for _ in 0..20 {
        first = http(to, "GET", "/read/a", &[], "").await.unwrap();
    }
    assert_eq!(first.outcome(), "answered");
    mesh.daemons[executor_index(&mesh, &key)].kill();
    let headers = [("idempotency-key", &*key), ("marigold-deadline-ms", "4000")];
    let reply = http(to, "POST", "/write/x", &headers, "six").await.unwrap();
    assert_eq!(reply.outcome(), "not-run", "{reply:?}");
    assert_eq!(one.runs("six") + two.runs("six"), 0);
}

#[tokio::test]
async fn executor_that_dies_during_the_run_means_unknown() {
    let (one, two, mesh) = start_pair().await;
    let key = key(mesh.daemons[2].caller).await;
    let (index, to) = (executor_index(&mesh, &key), mesh.daemons[2].caller);
    let call = tokio::spawn({
        let key = key.clone();
        async move { send_with_key(to, "/write/hold", &key, "seven").await }
    });
    [&one, &two][index].wait_busy(1).await;
    mesh.daemons[index].kill();
    assert_eq!(call.await.unwrap().outcome(), "unknown");
    let again = send_with_key(to, "/write/hold", &key, "seven").await;
    assert_eq!(again.outcome(), "unknown");
    assert_eq!(one.runs("seven") + two.runs("seven"), 1);
}

#[tokio::test]
async fn dead_witness_means_not_run() {
    let (one, two, mesh) = start_pair().await;
    let key = key(mesh.daemons[2].caller).await;
    let index = executor_index(&mesh, &key);
    mesh.daemons[1 - index].kill();
    let reply = send_with_key(mesh.daemons[2].caller, "/write/x", &key, "eight").await;
    assert_eq!(
        (reply.outcome(), reply.reason()),
        ("not-run", "no-witness"),
        "{reply:?}"
    );
    let again = send_with_key(mesh.daemons[2].caller, "/write/x", &key, "eight").await;
    assert_eq!(again.outcome(), "not-run");
    assert_eq!(one.total() + two.total(), 0);
}

#[tokio::test]
async fn dead_executor_and_witness_mean_unknown() {
    let (one, two, mesh) = start_pair().await;
    let key = key(mesh.daemons[2].caller).await;
    mesh.daemons[0].kill();
    mesh.daemons[1].kill();
    let reply = send_with_key(mesh.daemons[2].caller, "/write/x", &key, "nine").await;
    assert_eq!(reply.outcome(), "unknown", "{reply:?}");
    assert_eq!(one.total() + two.total(), 0);
}

macro_rules! rejected_key_queries {
    ($($name:ident: $method:literal $query:literal => $status:literal;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let backend = Backend::start().await;
            let mesh = start_mesh(&backend).await;
            let path = concat!("/.marigold/keys", $query);
            let reply = http(mesh.daemons[1].caller, $method, path, &[], "").await.unwrap();
            assert_eq!((reply.status, reply.outcome()), ($status, "not-run"), "{reply:?}");
        }
    )*};
}

rejected_key_queries! {
    key_needs_post: "GET" "?service=desk" => 405;
    key_needs_service: "POST" "" => 400;
    key_of_unknown_service: "POST" "?service=nowhere" => 400;
    key_of_unknown_path: "POST" "?path=/nowhere" => 400;
    too_many_keys: "POST" "?service=desk&count=65" => 400;
    unknown_query_parameter: "POST" "?service=desk&colour=red" => 400;
}

#[tokio::test]
async fn keys_are_issued_in_batches_by_path() {
    let backend = Backend::start().await;
    let mesh = start_mesh(&backend).await;
    let path = "/.marigold/keys?path=/write/x&count=64";
    let reply = http(mesh.daemons[1].caller, "POST", path, &[], "")
        .await
        .unwrap();
    let json: serde_json::Value = serde_json::from_slice(&reply.body).unwrap();
    assert_eq!(json["keys"].as_array().unwrap().len(), 64);
    assert_eq!(json["service"], SERVICE);
}

#[tokio::test]
async fn refusal_by_the_ingress_does_not_rule_out_an_earlier_run() {
    let backend = Backend::start().await;
    let mesh = start_mesh(&backend).await;
    let (used, fresh) = (
        key(mesh.daemons[1].caller).await,
        key(mesh.daemons[1].caller).await,
    );
    send_with_key(mesh.daemons[1].caller, "/write/x", &used, "nine").await;
    // No route matches the path, which does not prove that a request with a used key did not run.
    let late = send_with_key(mesh.daemons[2].caller, "/nowhere", &used, "nine").await;
    assert_eq!(late.outcome(), "unknown", "{late:?}");
    let early = send_with_key(mesh.daemons[2].caller, "/nowhere", &fresh, "ten").await;
    assert_eq!(
        (early.status, early.outcome()),
        (404, "not-run"),
        "{early:?}"
    );
    // A request that was reported as not run must never run.
    let again = send_with_key(mesh.daemons[1].caller, "/write/x", &fresh, "ten").await;
    assert_eq!(again.outcome(), "not-run", "{again:?}");
    assert_eq!(backend.runs("nine"), 1);
    assert_eq!(backend.runs("ten"), 0);
}
