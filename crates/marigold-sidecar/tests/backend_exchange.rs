//! Answers of backend servers, proper and otherwise.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{TEST_TIMEOUT, listener, names};
use marigold_sidecar::executor::{BackendPool, BackendRequest, Exchange, exchange};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// How a backend server ends its connection after its bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// It stays open.
    Open,
    /// It is closed in order.
    Close,
    /// It is reset.
    Reset,
}

const HEAD: usize = 1024;

async fn answer(mut stream: TcpStream, bytes: &'static str, end: End) {
    let mut head = [0; HEAD];
    // What is read does not matter here.
    let _ = stream.read(&mut head).await.expect("a request");
    stream.write_all(bytes.as_bytes()).await.expect("a reader");
    match end {
        End::Open => {
            let _ = stream.read(&mut head).await;
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
        limit: 1_000,
    }
}

/// Runs one exchange against a backend server that answers with `bytes`; returns it and whether the
/// next one would use the same connection.
async fn run(bytes: &'static str, end: End) -> (Exchange, bool) {
    let (listener, address) = listener().await;
    let server: JoinHandle<()> = tokio::spawn(async move {
        let (stream, _) = listener.accept().await.expect("a connection");
        answer(stream, bytes, end).await;
        // Only a second connection gets here.
        listener.accept().await.expect("a second connection");
    });
    let pool = BackendPool::new(address);
    let conn = pool.acquire(true).await.expect("a connection");
    let first = conn.stream.local_addr().expect("an address");
    let (names, request) = (names(), request());
    let result = timeout(TEST_TIMEOUT, exchange(&pool, conn, &names, &request));
    let result = result.await.expect("an end");
    let next = pool.acquire(false).await.expect("a connection");
    let is_same = next.stream.local_addr().expect("an address") == first;
    server.abort();
    (result, is_same)
}

/// Names a backend server's bytes and how its connection ends, what that is taken as, and whether the
/// connection is used again.
macro_rules! exchanges {
    ($($name:ident: $bytes:expr, $end:ident => $pattern:pat, $again:literal;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let (result, again) = run($bytes, End::$end).await;
            assert!(matches!(&result, $pattern), "{result:?}");
            assert_eq!(again, $again);
        }
    )*};
}

const PROPER: &str = "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signed: s\r\nContent-Length: 2\r\n\r\nhi";

exchanges! {
    proper: PROPER, Open => Exchange::Answered(_), true;
    in_chunks: "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signed: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
        Open => Exchange::Answered(_), true;
    without_length: "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signed: s\r\n\r\nhi", Close
        => Exchange::Answered(_), false;
    without_length_reset: "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signed: s\r\n\r\nhi", Reset
        => Exchange::Broken(_), false;
    cut_short: "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signed: s\r\nContent-Length: 9\r\n\r\nhi", Close
        => Exchange::Broken(_), false;
    no_answer: "", Close => Exchange::Broken(_), false;
    no_http: "zzzz zzzz zzzz\r\n\r\n", Open => Exchange::Broken(_), false;
    unsigned_success: "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nhi", Open
        => Exchange::Broken(_), true;
    encoded: "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signed: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nhi",
        Open => Exchange::Broken(_), true;
    failure: "HTTP/1.1 500 No\r\nX-Id: r1\r\nX-Signed: s\r\nContent-Length: 0\r\n\r\n", Open
        => Exchange::Answered(_), true;
    not_run: "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", Open
        => Exchange::Rejected { status: 503 }, true;
    another_server: "HTTP/1.1 421 No\r\nX-Identity: other\r\nContent-Length: 0\r\n\r\n", Open
        => Exchange::Rejected { status: 421 }, true;
    closing: "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signed: s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
        Open => Exchange::Answered(_), false;
    late_answer_first: "HTTP/1.1 200 OK\r\nX-Id: r0\r\nX-Signed: s\r\nContent-Length: 3\r\n\r\noldHTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signed: s\r\nContent-Length: 2\r\n\r\nhi",
        Open => Exchange::Answered(_), false;
    extra_answer_behind: "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signed: s\r\nContent-Length: 2\r\n\r\nhiHTTP/1.1 200 OK\r\n",
        Open => Exchange::Answered(_), false;
    interim_first: "HTTP/1.1 102 Wait\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signed: s\r\nContent-Length: 0\r\n\r\n",
        Open => Exchange::Answered(_), true;
    too_large: "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signed: s\r\nContent-Length: 2000\r\n\r\nhi", Close
        => Exchange::Broken(_), false;
}

#[tokio::test]
async fn the_late_answer_of_another_request_is_not_passed_on() {
    let bytes = "HTTP/1.1 200 OK\r\nX-Id: r0\r\nX-Signed: s\r\nContent-Length: 3\r\n\r\nold\
        HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signed: s\r\nContent-Length: 2\r\n\r\nhi";
    let (result, _) = run(bytes, End::Open).await;
    let Exchange::Answered(answer) = result else {
        panic!("{result:?}");
    };
    assert_eq!(&*answer.body, b"hi");
}

/// A request that may not be repeated must not meet the close of an idle connection.
#[tokio::test]
async fn idle_connections_carry_only_what_may_be_repeated() {
    let (listener, address) = listener().await;
    let pool = BackendPool::new(address);
    let conn = pool.acquire(true).await.expect("a connection");
    let first = conn.stream.local_addr().expect("an address");
    let (_kept, _) = listener.accept().await.expect("a connection");
    pool.give_back(conn, None);
    tokio::time::pause();
    tokio::time::advance(Duration::from_secs(1)).await;
    tokio::time::resume();
    let once = pool.acquire(false).await.expect("a connection");
    assert_ne!(once.stream.local_addr().expect("an address"), first);
    let again = pool.acquire(true).await.expect("a connection");
    assert_eq!(again.stream.local_addr().expect("an address"), first);
}
