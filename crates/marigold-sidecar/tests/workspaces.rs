//! Keys of callers: which requests run, and what backend servers, logs and callers see of keys.

mod common;

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use common::log_buffer::LogBuffer;
use common::test_mesh::{BackendBehaviour, TestMesh, get, route, until};
use marigold_dispatch::{
    CallerLimits, Precedence, RoutePolicy, RouteTable, Workspace, WorkspaceTable,
};
use marigold_types::Version;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use tokio::time::Instant;

const KEY: &str = "26tta828m82thhkm";
const CLOSE: &str = "Connection: close\r\n";

/// Returns a configuration in which the workspace `acme` holds `keys`.
fn table(version: u64, keys: &[&str]) -> Arc<RouteTable> {
    let mut workspaces = WorkspaceTable::default();
    for (name, keys) in [("acme", keys), ("other", &["other-key"])] {
        let workspace = Workspace {
            name: name.parse().expect("a name"),
            precedence: Precedence(1),
            quota: None,
        };
        workspaces.insert(workspace, keys.iter().copied());
    }
    Arc::new(unkeyed_table(version).with_workspaces(workspaces))
}

fn unkeyed_table(version: u64) -> RouteTable {
    let open = RoutePolicy {
        is_open: true,
        ..route("open", true)
    };
    let routes = vec![route("safe", true), route("once", false), open];
    let limits = CallerLimits::default();
    RouteTable::new(Version(version), routes, HashMap::new(), limits)
}

/// Each case has the path and the additional fields of a request, the status of its response, and the workspace field that
/// the backend server receives.
macro_rules! key_tests {
    ($($name:ident: $path:literal, $fields:expr => $status:literal, $workspace:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            LocalSet::new()
                .run_until(check($path, &$fields, $status, $workspace))
                .await;
        }
    )*};
}

async fn check(path: &str, fields: &str, status: u16, workspace: Option<&str>) {
    let log = LogBuffer::default();
    let mesh = TestMesh::logging_to(&[BackendBehaviour::Succeed], log.events()).await;
    mesh.ingress.install(table(2, &[KEY]));
    let answer = mesh.send(&get(path, &format!("{fields}{CLOSE}"))).await;
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status} ")),
        "{answer}"
    );
    until(|| !log.lines("request_ended").is_empty()).await;
    assert!(!log.text().contains(KEY), "{}", log.text());
    assert!(!answer.contains(KEY), "{answer}");
    let received = mesh.received.borrow();
    assert_eq!(received.len(), usize::from(status == 200), "{received:?}");
    for text in &*received {
        assert!(!text.contains(KEY), "{text}");
        let sent: Vec<_> = text
            .lines()
            .filter(|line| line.to_ascii_lowercase().starts_with("x-workspace"))
            .collect();
        let expected = workspace.map(|name| format!("X-Workspace: {name}"));
        assert_eq!(sent, expected.as_slice(), "{text}");
    }
}

key_tests! {
    known_key: "/safe/a", format!("X-Key: {KEY}\r\n") => 200, Some("acme");
    known_key_in_other_case: "/once/a", format!("x-kEY: {KEY}\r\n") => 200, Some("acme");
    key_listed_as_hop_by_hop: "/safe/a", format!("X-Key: {KEY}\r\nConnection: x-key\r\n") => 200, Some("acme");
    claimed_workspace: "/safe/a", format!("X-Key: {KEY}\r\nx-workspace: other\r\n") => 200, Some("acme");
    absent_key: "/safe/a", "" => 401, None;
    absent_key_and_claimed_workspace: "/safe/a", "X-Workspace: acme\r\n" => 401, None;
    unknown_key: "/safe/a", format!("X-Key: {KEY}x\r\n") => 401, None;
    empty_key: "/safe/a", "X-Key:\r\n" => 401, None;
    key_with_scheme: "/safe/a", format!("X-Key: Bearer {KEY}\r\n") => 401, None;
    repeated_key: "/safe/a", format!("X-Key: {KEY}\r\nX-Key: {KEY}\r\n") => 401, None;
    two_keys: "/safe/a", format!("X-Key: {KEY}\r\nX-Key: other-key\r\n") => 401, None;
    open_route: "/open/a", "" => 200, None;
    open_route_with_key: "/open/a", format!("X-Key: {KEY}\r\nX-Workspace: other\r\n") => 200, None;
    open_route_with_unknown_key: "/open/a", "X-Key: wrong\r\n" => 200, None;
    unknown_route: "/none/a", "" => 404, None;
}

#[tokio::test]
async fn fields_are_forwarded_without_workspaces() {
    LocalSet::new()
        .run_until(async {
            let mesh = TestMesh::new(&[BackendBehaviour::Succeed]).await;
            let fields = format!("X-Key: plain\r\nX-Workspace: mine\r\n{CLOSE}");
            let answer = mesh.send(&get("/safe/a", &fields)).await;
            assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
            let received = mesh.received.borrow();
            assert!(received[0].contains("X-Key: plain\r\nX-Workspace: mine\r\n"));
        })
        .await;
}

/// Reads one response without a body from a connection that stays open; returns its status line.
async fn response(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    let mut buffer = [0; 1024];
    while !text.windows(4).any(|bytes| bytes == b"\r\n\r\n") {
        let count = stream.read(&mut buffer).await.expect("an open connection");
        assert!(count > 0, "the connection was closed");
        text.extend_from_slice(&buffer[..count]);
    }
    let text = String::from_utf8(text).expect("valid UTF-8");
    text.lines().next().unwrap_or_default().to_owned()
}

#[tokio::test]
async fn withdrawn_key_is_refused_on_open_connection() {
    LocalSet::new()
        .run_until(async {
            let mesh = TestMesh::new(&[BackendBehaviour::Succeed]).await;
            mesh.ingress.install(table(2, &[KEY, "new-key"]));
            let mut stream = TcpStream::connect(mesh.callers).await.expect("the ingress");
            let request = get("/safe/a", &format!("X-Key: {KEY}\r\n"));
            stream.write_all(request.as_bytes()).await.expect("sent");
            assert!(response(&mut stream).await.contains("200"));
            mesh.ingress.install(table(3, &["new-key"]));
            stream.write_all(request.as_bytes()).await.expect("sent");
            assert!(response(&mut stream).await.contains("401"));
            assert_eq!(mesh.arrivals(), 1);
        })
        .await;
}

/// A request whose body arrives across a change is checked by the new configuration.
#[tokio::test]
async fn withdrawn_key_is_refused_after_slow_body() {
    LocalSet::new()
        .run_until(async {
            let answer = slow_body(table(2, &[KEY]), table(3, &["new-key"])).await;
            assert!(answer.contains("401"), "{answer}");
        })
        .await;
}

/// The key was left among the fields of the head, so the request must not run once keys have a meaning.
#[tokio::test]
async fn request_older_than_workspaces_is_not_run() {
    LocalSet::new()
        .run_until(async {
            let answer = slow_body(Arc::new(unkeyed_table(2)), table(3, &[KEY])).await;
            assert!(answer.contains("503"), "{answer}");
        })
        .await;
}

/// Sends a request whose head arrives under `before` and whose body under `after`; returns the status line.
async fn slow_body(before: Arc<RouteTable>, after: Arc<RouteTable>) -> String {
    let mesh = TestMesh::new(&[BackendBehaviour::Succeed]).await;
    mesh.ingress.install(before);
    let mut stream = TcpStream::connect(mesh.callers).await.expect("the ingress");
    let fields = format!("X-Key: {KEY}\r\nContent-Length: 4\r\nExpect: 100-continue\r\n");
    let head = get("/once/a", &fields).replace("GET", "POST");
    stream.write_all(head.as_bytes()).await.expect("sent");
    assert!(response(&mut stream).await.contains("100"));
    mesh.ingress.install(after);
    stream.write_all(b"body").await.expect("sent");
    let answer = response(&mut stream).await;
    assert_eq!(mesh.arrivals(), 0);
    answer
}

/// The first attempt was rejected while the key was withdrawn, so there is no second one.
#[tokio::test]
async fn withdrawn_key_is_refused_between_attempts() {
    LocalSet::new()
        .run_until(async {
            let behaviours = [
                BackendBehaviour::RejectSlowly,
                BackendBehaviour::RejectSlowly,
            ];
            let mesh = Rc::new(TestMesh::new(&behaviours).await);
            mesh.ingress.install(table(2, &[KEY]));
            let watched = mesh.clone();
            tokio::task::spawn_local(async move {
                until(|| watched.arrivals() == 1).await;
                watched.ingress.install(table(3, &["new-key"]));
            });
            let fields = format!("X-Key: {KEY}\r\n{CLOSE}");
            let answer = mesh.send(&get("/once/a", &fields)).await;
            assert!(answer.starts_with("HTTP/1.1 401 "), "{answer}");
            assert_eq!(mesh.arrivals(), 1);
        })
        .await;
}

/// Each case has a path, how long ago the configuration of a daemon with a maximum age of 5 s was confirmed, if ever, and
/// the status of the response.
macro_rules! freshness_tests {
    ($($name:ident: $path:literal, $age:expr => $status:literal;)*) => {$(
        #[tokio::test]
        async fn $name() {
            LocalSet::new().run_until(check_freshness($path, $age, $status)).await;
        }
    )*};
}

async fn check_freshness(path: &str, age: Option<u64>, status: u16) {
    let mesh = TestMesh::new(&[BackendBehaviour::Succeed]).await;
    mesh.ingress.install(table(2, &[KEY]));
    let fields = format!("X-Key: {KEY}\r\n{CLOSE}");
    let freshness = &mesh.ingress.freshness;
    freshness.confirm(age.and_then(|age| Instant::now().checked_sub(Duration::from_secs(age))));
    let answer = mesh.send(&get(path, &fields)).await;
    assert!(
        answer.starts_with("HTTP/1.1 200 "),
        "without a maximum: {answer}"
    );
    freshness.set_max_age(Some(Duration::from_secs(5)));
    let answer = mesh.send(&get(path, &fields)).await;
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status} ")),
        "{answer}"
    );
    assert_eq!(mesh.arrivals(), 1 + u32::from(status == 200));
}

freshness_tests! {
    recently_confirmed: "/safe/a", Some(1) => 200;
    confirmed_too_long_ago: "/safe/a", Some(60) => 503;
    never_confirmed: "/once/a", None => 503;
    open_route_needs_no_confirmation: "/open/a", None => 200;
}

/// A key that has just been added must not be refused for good by a daemon that lags behind.
#[tokio::test]
async fn unknown_key_may_be_in_newer_configuration() {
    LocalSet::new()
        .run_until(async {
            let mesh = TestMesh::new(&[BackendBehaviour::Succeed]).await;
            mesh.ingress.install(table(2, &["old-key"]));
            mesh.ingress.newest_seen_version.send_replace(Version(3));
            let request = get("/safe/a", &format!("X-Key: {KEY}\r\n{CLOSE}"));
            let answer = mesh.send(&request).await;
            assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
            let answer = mesh.send(&get("/safe/a", CLOSE)).await;
            assert!(answer.starts_with("HTTP/1.1 401 "), "{answer}");
            mesh.ingress.install(table(3, &[KEY]));
            let answer = mesh.send(&request).await;
            assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
        })
        .await;
}
