//! Backend servers that send bytes without end in place of a response.

mod common;

use std::sync::Arc;

use bytes::Bytes;
use common::{TEST_TIMEOUT, listener, names};
use marigold_sidecar::executor::{
    BackendPool, BackendRequest, ExchangeError, ExchangeOutcome, exchange,
};
use marigold_sidecar::http1::HttpError;
use marigold_sidecar::{Body, MemoryBudget};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::timeout;

/// Limit on the body of a response.
const MAX_BODY_BYTES: u64 = 1 << 20;
/// Exchanges at the same time, as many as a backend server has slots.
const EXCHANGES: usize = 14;
const HEAD: &str = "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signed: s\r\n";
/// Repetitions of the endless part that are written at once.
const REPETITIONS: usize = 512;

/// Reads a request and writes `first`, then `repeated` until the connection is closed.
async fn respond(mut stream: TcpStream, first: String, repeated: &'static str) {
    let mut buffer = [0; 1024];
    let _ = stream.read(&mut buffer).await.expect("a request");
    let mut result = stream.write_all(first.as_bytes()).await;
    if repeated.is_empty() {
        let _ = stream.read(&mut buffer).await;
        return;
    }
    let block = repeated.repeat(REPETITIONS);
    while result.is_ok() {
        result = stream.write_all(block.as_bytes()).await;
    }
}

/// Starts a backend server, which is ended by aborting the task.
async fn start(first: String, repeated: &'static str) -> (BackendPool, JoinHandle<()>) {
    let (listener, address) = listener().await;
    let server = tokio::spawn(async move {
        let mut connections = JoinSet::new();
        loop {
            let (stream, _) = listener.accept().await.expect("a connection");
            connections.spawn(respond(stream, first.clone(), repeated));
        }
    });
    (BackendPool::new(address), server)
}

fn request(large_bodies: &Arc<Semaphore>) -> BackendRequest {
    BackendRequest {
        id: "r1".into(),
        bodiless: false,
        bytes: Bytes::from_static(b"GET /a HTTP/1.1\r\nX-Id: r1\r\n\r\n"),
        body: Body::default(),
        max_body_bytes: MAX_BODY_BYTES,
        large_bodies: large_bodies.clone(),
        memory: MemoryBudget::unlimited(),
    }
}

async fn run(pool: &BackendPool, large_bodies: &Arc<Semaphore>) -> ExchangeOutcome {
    let conn = pool.acquire(true).await.expect("a connection");
    let (names, request) = (names(), request(large_bodies));
    let result = timeout(TEST_TIMEOUT, exchange(pool, conn, &names, &request));
    result.await.expect("an end without a deadline").outcome
}

/// Names each kind of response, what precedes the endless part, the endless part, and the error that ends it.
macro_rules! endless_tests {
    ($($name:ident: $first:expr, $repeated:literal => $error:ident;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let (pool, server) = start($first.to_owned(), $repeated).await;
            let large_bodies = Arc::new(Semaphore::new(1));
            let exchanges = (0..EXCHANGES).map(|_| run(&pool, &large_bodies));
            for outcome in futures_util::future::join_all(exchanges).await {
                let expected = ExchangeError::Http(HttpError::$error);
                assert_eq!(outcome, ExchangeOutcome::Broken(expected));
            }
            server.abort();
        }
    )*};
}

endless_tests! {
    body_without_length_never_ends: format!("{HEAD}\r\n"), "abcdefgh" => BodySize;
    chunks_never_end: format!("{HEAD}Transfer-Encoding: chunked\r\n\r\n"), "8\r\nabcdefgh\r\n" => BodySize;
    chunk_extensions_never_end: format!("{HEAD}Transfer-Encoding: chunked\r\n\r\n"),
        "1;padding=paddingpaddingpadding\r\na\r\n" => Framing;
    interim_responses_never_end: "", "HTTP/1.1 100 Continue\r\n\r\n" => InterimResponses;
    trailers_never_end: format!("{HEAD}Transfer-Encoding: chunked\r\n\r\n0\r\n"), "X-A: b\r\n" => Framing;
    head_never_ends: HEAD, "X-A: b\r\n" => Head;
    line_never_ends: "HTTP/1.1 200 OK\r\nX-A: ", "abcdefgh" => Head;
    announced_length_is_huge: format!("{HEAD}Content-Length: 99999999999\r\n\r\n"), "" => BodySize;
}

/// As many responses without end as large bodies are received at a time do not keep a large one from passing.
#[tokio::test]
async fn large_response_is_lost_beside_endless_ones() {
    let body = "x".repeat(usize::try_from(MAX_BODY_BYTES).expect("fits"));
    let head = format!("{HEAD}Content-Length: {MAX_BODY_BYTES}\r\n\r\n");
    let (large, large_server) = start(format!("{head}{body}"), "").await;
    let (endless, endless_server) = start(format!("{HEAD}\r\n"), "abcdefgh").await;
    let large_bodies = Arc::new(Semaphore::new(1));
    let endless = (0..EXCHANGES).map(|_| run(&endless, &large_bodies));
    let large = (0..EXCHANGES).map(|_| run(&large, &large_bodies));
    let (_, outcomes) = tokio::join!(
        futures_util::future::join_all(endless),
        futures_util::future::join_all(large)
    );
    for outcome in outcomes {
        let ExchangeOutcome::Answered(response) = outcome else {
            panic!("{outcome:?}");
        };
        assert_eq!(response.body.len(), body.len());
    }
    large_server.abort();
    endless_server.abort();
}
