//! Large, truncated and oversized bodies through two daemons.

mod support;

use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use support::backend::LARGE_BODY_BYTES;
use support::http::{Body, send};
use support::{Backend, Mesh, http};
use tokio::sync::Notify;

const CHUNK_BYTES: usize = 64 << 10;

/// Returns a body of `count` chunks of [`CHUNK_BYTES`].
fn chunked_body(count: usize) -> Body {
    let part = Bytes::from(vec![b'y'; CHUNK_BYTES]);
    let parts = (0..count).map(move |_| Ok(Frame::data(part.clone())));
    StreamBody::new(stream::iter(parts)).boxed_unsync()
}

/// Returns a body that fails after its first chunk, once `fail` is notified.
fn failing_body(fail: Arc<Notify>) -> Body {
    let first = stream::once(async { Ok(Frame::data(Bytes::from_static(b"start"))) });
    let cut = stream::once(async move {
        fail.notified().await;
        Err(std::io::Error::other("truncated by the test"))
    });
    StreamBody::new(first.chain(cut)).boxed_unsync()
}

#[tokio::test]
async fn large_response_is_complete() {
    let backend = Backend::start().await;
    let mesh = Mesh::start(&[&backend], 1).await;
    let reply = http(mesh.daemons[1].caller, "GET", "/read/large", &[], "").await;
    let reply = reply.unwrap();
    assert_eq!((reply.status, reply.body.len()), (200, LARGE_BODY_BYTES));
}

#[tokio::test]
async fn large_request_is_complete() {
    let backend = Backend::start().await;
    let mesh = Mesh::start(&[&backend], 1).await;
    let upload = chunked_body(LARGE_BODY_BYTES / CHUNK_BYTES);
    let caller = mesh.daemons[1].caller;
    let response = send(caller, "POST", "/write/upload", &[], upload).await;
    let text = response.unwrap().into_body().collect().await.unwrap();
    assert_eq!(text.to_bytes(), LARGE_BODY_BYTES.to_string());
}

macro_rules! truncated_responses {
    ($($name:ident: $path:literal;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let backend = Backend::start().await;
            let mesh = Mesh::start(&[&backend], 1).await;
            for daemon in &mesh.daemons {
                let result = http(daemon.caller, "POST", $path, &[], "order").await;
                assert!(result.is_err(), "a truncated response looks complete: {:?}", result.unwrap().status);
            }
        }
    )*};
}

truncated_responses! {
    truncated_response_with_length: "/write/cut";
    truncated_response_in_chunks: "/write/cut-chunked";
}

#[tokio::test]
async fn truncated_request_is_incomplete_at_the_backend_server() {
    let backend = Backend::start().await;
    let mesh = Mesh::start(&[&backend], 1).await;
    let caller = mesh.daemons[1].caller;
    let fail = Arc::new(Notify::new());
    let call = tokio::spawn(send(
        caller,
        "POST",
        "/write/echo",
        &[],
        failing_body(fail.clone()),
    ));
    backend.wait_busy(1).await;
    fail.notify_one();
    assert!(call.await.unwrap().is_err());
    backend
        .wait(|seen| seen.cancelled.load(Ordering::SeqCst) == 1)
        .await;
    assert_eq!(backend.total(), 0);
}

#[tokio::test]
async fn declared_body_over_the_limit_is_not_run() {
    let backend = Backend::start().await;
    let mut mesh = Mesh::new();
    mesh.settings.caller.max_body = marigold_types::ByteSize(4);
    mesh.add_all(&[&backend], 1).await;
    let caller = mesh.daemons[1].caller;
    let reply = http(caller, "POST", "/write/x", &[], "order")
        .await
        .unwrap();
    assert_eq!((reply.status, reply.outcome()), (413, "not-run"));
    assert_eq!(backend.total(), 0);
}

#[tokio::test]
async fn streamed_body_over_the_limit_is_refused() {
    let backend = Backend::start().await;
    let mut mesh = Mesh::new();
    mesh.settings.caller.max_body = marigold_types::ByteSize(CHUNK_BYTES as u64);
    mesh.add_all(&[&backend], 1).await;
    let caller = mesh.daemons[1].caller;
    let response = send(caller, "POST", "/write/echo", &[], chunked_body(8)).await;
    // The caller may still be sending when the request is refused, which can break its connection.
    if let Ok(response) = response {
        assert_eq!(response.status(), 413);
    }
    assert_eq!(backend.total(), 0);
}
