//! Callers that send malformed requests, stop reading or disconnect.

mod support;

use std::net::SocketAddr;
use std::sync::atomic::Ordering;

use support::{Backend, Mesh, http};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Sends raw bytes and returns everything received until the connection is closed.
async fn send_raw(to: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(to).await.unwrap();
    // The daemon may close the connection before it has read everything.
    let _ = stream.write_all(bytes).await;
    let mut text = Vec::new();
    let _ = stream.read_to_end(&mut text).await;
    String::from_utf8_lossy(&text).into_owned()
}

macro_rules! rejected_bytes {
    ($($name:ident: $bytes:expr => $status:literal;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let backend = Backend::start().await;
            let mesh = Mesh::start(&[&backend], 1).await;
            let caller = mesh.daemons[1].caller;
            let text = send_raw(caller, $bytes.as_bytes()).await;
            assert!(text.starts_with(concat!("HTTP/1.1 ", $status)), "{text:?}");
            assert_eq!(backend.total(), 0);
            let reply = http(caller, "GET", "/read/x", &[], "").await.unwrap();
            assert_eq!(reply.outcome(), "answered");
        }
    )*};
}

rejected_bytes! {
    malformed_request_line: "\u{1}\u{2}nonsense\r\n\r\n" => "400";
    oversized_header: format!("GET /read/x HTTP/1.1\r\na: {}\r\n\r\n", "x".repeat(1 << 20)) => "431";
    too_many_headers: format!("GET /read/x HTTP/1.1\r\n{}\r\n", "a: b\r\n".repeat(2_000)) => "431";
}

macro_rules! rejected_headers {
    ($($name:ident: $header:literal $value:literal => $expected:literal;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let backend = Backend::start().await;
            let mesh = Mesh::start(&[&backend], 1).await;
            let headers = [($header, $value)];
            let caller = mesh.daemons[1].caller;
            let reply = http(caller, "POST", "/write/x", &headers, "order").await.unwrap();
            assert_eq!((reply.status, reply.outcome()), (400, "not-run"));
            let text = String::from_utf8_lossy(&reply.body).into_owned();
            assert!(text.contains($expected), "{text}");
            assert_eq!(backend.total(), 0);
        }
    )*};
}

rejected_headers! {
    invalid_deadline: "marigold-deadline-ms" "soon" => "whole number of milliseconds";
    excessive_depth: "marigold-depth" "99" => "0 to 32";
    invalid_caller_name: "marigold-caller" "A B" => "a-z";
    key_not_issued_by_the_mesh: "idempotency-key" "3f2a" => "/.marigold/keys";
    forged_key: "idempotency-key" "mk1.AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA" => "/.marigold/keys";
}

#[tokio::test]
async fn http_1_0_is_refused() {
    let mesh = Mesh::start(&[], 1).await;
    let text = send_raw(mesh.daemons[0].caller, b"GET /read/x HTTP/1.0\r\n\r\n").await;
    assert!(text.contains(" 505 "), "{text}");
}

#[tokio::test]
async fn disconnected_caller_cancels_the_request() {
    let backend = Backend::start().await;
    let mesh = Mesh::start(&[&backend], 1).await;
    for daemon in &mesh.daemons {
        backend.hold();
        let call = tokio::spawn({
            let caller = daemon.caller;
            async move { http(caller, "GET", "/read/hold", &[], "").await }
        });
        backend.wait_busy(1).await;
        let before = backend.state.cancelled.load(Ordering::SeqCst);
        let mut stream = TcpStream::connect(daemon.caller).await.unwrap();
        let head = b"POST /write/hold HTTP/1.1\r\nhost: t\r\ncontent-length: 1\r\n\r\nx";
        stream.write_all(head).await.unwrap();
        backend.wait_busy(2).await;
        drop(stream);
        backend
            .wait(|seen| seen.cancelled.load(Ordering::SeqCst) == before + 1)
            .await;
        backend.release();
        assert_eq!(call.await.unwrap().unwrap().body, "held");
        backend.wait_busy(0).await;
    }
}

#[tokio::test]
async fn caller_that_stops_reading_is_disconnected() {
    let backend = Backend::start().await;
    let mut mesh = Mesh::new();
    mesh.settings.caller.write_timeout = marigold_types::Interval::from_millis(200);
    mesh.add_all(&[&backend], 1).await;
    let mut streams = Vec::new();
    for daemon in &mesh.daemons {
        let mut stream = TcpStream::connect(daemon.caller).await.unwrap();
        let head = b"GET /read/endless HTTP/1.1\r\nhost: t\r\n\r\n";
        stream.write_all(head).await.unwrap();
        // The stream is kept open without being read.
        streams.push(stream);
        let count = streams.len();
        backend
            .wait(|seen| seen.cancelled.load(Ordering::SeqCst) == count)
            .await;
    }
}

#[tokio::test]
async fn caller_deadline_is_enforced_and_forwarded() {
    let backend = Backend::start().await;
    let mesh = Mesh::start(&[&backend], 1).await;
    let headers = [("marigold-deadline-ms", "300")];
    let caller = mesh.daemons[1].caller;
    let reply = http(caller, "POST", "/write/hold", &headers, "x")
        .await
        .unwrap();
    assert_eq!((reply.status, reply.outcome()), (504, "unknown"));
    backend.wait_busy(0).await;
    let seen = backend.state.headers.lock().unwrap();
    let left = seen[0]["marigold-deadline-ms"].to_str().unwrap();
    assert!(left.parse::<u64>().unwrap() <= 300, "{left}");
    assert_eq!(seen[0]["marigold-depth"], "1");
}

#[tokio::test]
async fn reused_connection_gets_each_response_to_its_own_request() {
    let backend = Backend::start().await;
    let mesh = Mesh::start(&[&backend], 1).await;
    let mut stream = TcpStream::connect(mesh.daemons[1].caller).await.unwrap();
    for round in 0..50 {
        let body = format!("order-{round:04}");
        let length = body.len();
        let head =
            format!("POST /write/x HTTP/1.1\r\nhost: t\r\ncontent-length: {length}\r\n\r\n{body}");
        stream.write_all(head.as_bytes()).await.unwrap();
        let mut text = String::new();
        while !text.ends_with(&body) {
            let mut buffer = [0; 4096];
            let count = stream.read(&mut buffer).await.unwrap();
            assert!(count > 0, "closed after {text}");
            text.push_str(std::str::from_utf8(&buffer[..count]).unwrap());
            assert!(!text.contains("order-") || text.contains(&body), "{text}");
        }
    }
}
