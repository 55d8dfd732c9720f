//! Valid and invalid responses of backend servers.

mod common;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use common::{TEST_TIMEOUT, listener, names};
use marigold_sidecar::executor::{BackendPool, BackendRequest, ExchangeOutcome, exchange};
use marigold_sidecar::{Body, MemoryBudget};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// What a backend server does with its connection after the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// Keeps it open.
    Open,
    /// Closes it with FIN.
    Close,
    /// Resets it.
    Reset,
}

const READ_BUFFER_BYTES: usize = 1024;

async fn respond(mut stream: TcpStream, bytes: &'static str, end: End) {
    let mut buffer = [0; READ_BUFFER_BYTES];
    // The contents of the request do not matter.
    let _ = stream.read(&mut buffer).await.expect("a request");
    stream
        .write_all(bytes.as_bytes())
        .await
        .expect("an open connection");
    match end {
        End::Open => {
            let _ = stream.read(&mut buffer).await;
        }
        End::Close => {}
        End::Reset => stream.set_zero_linger().expect("an open socket"),
    }
}

fn request() -> BackendRequest {
    BackendRequest {
        id: "r1".into(),
        bodiless: false,
        bytes: Bytes::from_static(b"GET /a HTTP/1.1\r\nX-Id: r1\r\n\r\n"),
        body: Body::default(),
        max_body_bytes: 1_000,
        large_bodies: Arc::new(Semaphore::new(1)),
        memory: MemoryBudget::unlimited(),
    }
}

/// Runs one exchange with a backend server that responds with `bytes`; returns its result and whether the
/// next exchange would reuse the connection.
async fn run(bytes: &'static str, end: End) -> (ExchangeOutcome, bool) {
    let (listener, address) = listener().await;
    let server: JoinHandle<()> = tokio::spawn(async move {
        let (stream, _) = listener.accept().await.expect("a connection");
        respond(stream, bytes, end).await;
        // Reached only if the pool opens a second connection.
        listener.accept().await.expect("a second connection");
    });
    let pool = BackendPool::new(address);
    let conn = pool.acquire(true).await.expect("a connection");
    let first = conn.stream.local_addr().expect("an address");
    let (names, request) = (names(), request());
    let result = timeout(TEST_TIMEOUT, exchange(&pool, conn, &names, &request));
    let result = result.await.expect("a result in time").outcome;
    let next = pool.acquire(false).await.expect("a connection");
    let is_same = next.stream.local_addr().expect("an address") == first;
    server.abort();
    (result, is_same)
}

/// Each case lists the response, what happens to the connection afterwards, the expected result of the
/// exchange, and whether the connection is reused.
macro_rules! exchange_tests {
    ($($name:ident: $bytes:expr, $end:ident => $pattern:pat, $reused:literal;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let (result, reused) = run($bytes, End::$end).await;
            assert!(matches!(&result, $pattern), "{result:?}");
            assert_eq!(reused, $reused);
        }
    )*};
}

const VALID_RESPONSE: &str =
    "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signed: s\r\nContent-Length: 2\r\n\r\nhi";

exchange_tests! {
    valid: VALID_RESPONSE, Open => ExchangeOutcome::Answered(_), true;
    chunked: "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signed: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
        Open => ExchangeOutcome::Answered(_), true;
    without_length: "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signed: s\r\n\r\nhi", Close
        => ExchangeOutcome::Answered(_), false;
    without_length_reset: "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signed: s\r\n\r\nhi", Reset
        => ExchangeOutcome::Broken(_), false;
    truncated: "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signed: s\r\nContent-Length: 9\r\n\r\nhi", Close
        => ExchangeOutcome::Broken(_), false;
    no_response: "", Close => ExchangeOutcome::Broken(_), false;
    not_http: "zzzz zzzz zzzz\r\n\r\n", Open => ExchangeOutcome::Broken(_), false;
    unsigned_success: "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nhi", Open
        => ExchangeOutcome::Broken(_), true;
    content_encoded: "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signed: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nhi",
        Open => ExchangeOutcome::Broken(_), true;
    error_response: "HTTP/1.1 500 No\r\nX-Id: r1\r\nX-Signed: s\r\nContent-Length: 0\r\n\r\n", Open
        => ExchangeOutcome::Answered(_), true;
    not_run: "HTTP/1.1 503 No\r\nX-Id: r1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", Open
        => ExchangeOutcome::Rejected { status: 503 }, true;
    wrong_backend_server: "HTTP/1.1 421 No\r\nX-Id: r1\r\nX-Identity: other\r\nContent-Length: 0\r\n\r\n", Open
        => ExchangeOutcome::Rejected { status: 421 }, true;
    not_run_without_id: "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", Open
        => ExchangeOutcome::Rejected { status: 503 }, false;
    wrong_backend_server_without_id: "HTTP/1.1 421 No\r\nX-Identity: other\r\nContent-Length: 0\r\n\r\n", Open
        => ExchangeOutcome::Rejected { status: 421 }, false;
    connection_close: "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signed: s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
        Open => ExchangeOutcome::Answered(_), false;
    late_response_of_another_request_first: "HTTP/1.1 200 OK\r\nX-Id: r0\r\nX-Signed: s\r\nContent-Length: 3\r\n\r\noldHTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signed: s\r\nContent-Length: 2\r\n\r\nhi",
        Open => ExchangeOutcome::Answered(_), false;
    excess_bytes_after_response: "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signed: s\r\nContent-Length: 2\r\n\r\nhiHTTP/1.1 200 OK\r\n",
        Open => ExchangeOutcome::Answered(_), false;
    interim_response_first: "HTTP/1.1 102 Wait\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signed: s\r\nContent-Length: 0\r\n\r\n",
        Open => ExchangeOutcome::Answered(_), true;
    too_large: "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signed: s\r\nContent-Length: 2000\r\n\r\nhi", Close
        => ExchangeOutcome::Broken(_), false;
}

#[tokio::test]
async fn late_response_of_another_request_is_discarded() {
    let bytes = "HTTP/1.1 200 OK\r\nX-Id: r0\r\nX-Signed: s\r\nContent-Length: 3\r\n\r\nold\
        HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signed: s\r\nContent-Length: 2\r\n\r\nhi";
    let (result, _) = run(bytes, End::Open).await;
    let ExchangeOutcome::Answered(response) = result else {
        panic!("{result:?}");
    };
    assert_eq!(&*response.body.to_bytes(), b"hi");
}

/// Answers each of two requests by a rejection without an id. The second copy of the first rejection arrives once the
/// next request has been sent.
async fn reject_twice(mut stream: TcpStream) {
    let rejection = b"HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    let mut buffer = [0; READ_BUFFER_BYTES];
    for _ in 0..2 {
        if !matches!(stream.read(&mut buffer).await, Ok(1..)) {
            return;
        }
        stream
            .write_all(rejection)
            .await
            .expect("an open connection");
    }
    let _ = stream.read(&mut buffer).await;
}

/// Guards against taking the late second copy of a rejection for the response to the next request on the connection, which
/// runs.
#[tokio::test]
async fn second_copy_of_a_rejection_does_not_reach_the_next_request() {
    let (listener, address) = listener().await;
    let server: JoinHandle<()> = tokio::spawn(async move {
        let (stream, _) = listener.accept().await.expect("a connection");
        tokio::spawn(reject_twice(stream));
        let (stream, _) = listener.accept().await.expect("a second connection");
        respond(stream, VALID_RESPONSE, End::Open).await;
    });
    let pool = BackendPool::new(address);
    let (names, request) = (names(), request());
    let mut outcomes = Vec::new();
    for _ in 0..2 {
        let conn = pool.acquire(true).await.expect("a connection");
        let result = timeout(TEST_TIMEOUT, exchange(&pool, conn, &names, &request));
        outcomes.push(result.await.expect("a result in time").outcome);
    }
    let next = outcomes.pop();
    assert!(
        matches!(next, Some(ExchangeOutcome::Answered(_))),
        "{next:?}"
    );
    server.abort();
}

/// Guards against sending a non-idempotent request on an idle connection that the backend server may be
/// closing.
#[tokio::test]
async fn idle_connections_are_reused_only_for_idempotent_requests() {
    let (listener, address) = listener().await;
    let pool = BackendPool::new(address);
    let conn = pool.acquire(true).await.expect("a connection");
    let first = conn.stream.local_addr().expect("an address");
    let (_kept, _) = listener.accept().await.expect("a connection");
    pool.release(conn, None);
    tokio::time::pause();
    tokio::time::advance(Duration::from_secs(1)).await;
    tokio::time::resume();
    let non_idempotent = pool.acquire(false).await.expect("a connection");
    assert_ne!(
        non_idempotent.stream.local_addr().expect("an address"),
        first
    );
    let idempotent = pool.acquire(true).await.expect("a connection");
    assert_eq!(idempotent.stream.local_addr().expect("an address"), first);
}
