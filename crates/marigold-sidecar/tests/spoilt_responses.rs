//! Responses that are none by the grammar of HTTP/1.1, which no caller may get.

mod common;

use std::sync::Arc;

use bytes::Bytes;
use common::{TEST_TIMEOUT, listener, names};
use marigold_sidecar::executor::{BackendPool, BackendRequest, ExchangeOutcome, exchange, probe};
use marigold_sidecar::{Body, MemoryBudget};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;
use tokio::time::timeout;

const READ_BUFFER_BYTES: usize = 1024;
/// The fields that make a response authentic.
const FIELDS: &str = "X-Id: r1\r\nX-Signed: s\r\nX-Identity: life-1\r\n";

/// Answers each request with `bytes` and closes its connection.
fn respond(listener: TcpListener, bytes: Vec<u8>) -> JoinHandle<()> {
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut buffer = [0; READ_BUFFER_BYTES];
            // The contents of the request do not matter.
            let _ = stream.read(&mut buffer).await.expect("a request");
            stream.write_all(&bytes).await.expect("an open connection");
        }
    })
}

/// Runs one exchange with a backend server that responds with `bytes`.
async fn run(bytes: &[u8]) -> ExchangeOutcome {
    let (listener, address) = listener().await;
    let server = respond(listener, bytes.to_vec());
    let pool = BackendPool::new(address);
    let conn = pool.acquire(true).await.expect("a connection");
    let request = BackendRequest {
        id: "r1".into(),
        bodiless: false,
        bytes: Bytes::from_static(b"GET /a HTTP/1.1\r\nX-Id: r1\r\n\r\n"),
        body: Body::default(),
        max_body_bytes: 1_000,
        large_bodies: Arc::new(Semaphore::new(1)),
        memory: MemoryBudget::unlimited(),
    };
    let names = names();
    let result = timeout(TEST_TIMEOUT, exchange(&pool, conn, &names, &request));
    let outcome = result.await.expect("a result in time").outcome;
    server.abort();
    outcome
}

/// Returns whether a backend server that responds to health checks with `bytes` passes for healthy.
async fn is_healthy(bytes: &[u8]) -> bool {
    let (listener, address) = listener().await;
    let server = respond(listener, bytes.to_vec());
    let response = timeout(TEST_TIMEOUT, probe(address, "/health", &names())).await;
    server.abort();
    let response = response.expect("a result in time");
    response.is_ok_and(|response| response.identity.is_some())
}

/// Each case lists the status line, further fields, and what follows the head. Neither a request nor a health check may get
/// a response.
macro_rules! spoilt_tests {
    ($($name:ident: $status:literal, $fields:literal, $body:literal;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let bytes = format!("{}\r\n{FIELDS}{}\r\n{}", $status, $fields, $body);
            let outcome = run(bytes.as_bytes()).await;
            assert!(matches!(outcome, ExchangeOutcome::Broken(_)), "{outcome:?}");
            assert!(!is_healthy(bytes.as_bytes()).await);
        }
    )*};
}

spoilt_tests! {
    status_000: "HTTP/1.1 000 OK", "Content-Length: 2\r\n", "hi";
    status_099: "HTTP/1.1 099 OK", "Content-Length: 2\r\n", "hi";
    status_600: "HTTP/1.1 600 OK", "Content-Length: 2\r\n", "hi";
    status_999: "HTTP/1.1 999 OK", "Content-Length: 2\r\n", "hi";
    status_of_two_digits: "HTTP/1.1 20 OK", "Content-Length: 2\r\n", "hi";
    status_of_four_digits: "HTTP/1.1 2000 OK", "Content-Length: 2\r\n", "hi";
    status_with_sign: "HTTP/1.1 +20 OK", "Content-Length: 2\r\n", "hi";
    status_with_letter: "HTTP/1.1 2O0 OK", "Content-Length: 2\r\n", "hi";
    status_after_two_blanks: "HTTP/1.1  200 OK", "Content-Length: 2\r\n", "hi";
    no_status: "HTTP/1.1 OK", "Content-Length: 2\r\n", "hi";
    unknown_version: "HTTP/1.2 200 OK", "Content-Length: 2\r\n", "hi";
    version_in_lower_case: "http/1.1 200 OK", "Content-Length: 2\r\n", "hi";
    line_before_the_status: "\r\nHTTP/1.1 200 OK", "Content-Length: 2\r\n", "hi";
    control_byte_in_reason: "HTTP/1.1 200 O\x01K", "Content-Length: 2\r\n", "hi";
    upgrade_that_was_not_requested: "HTTP/1.1 101 OK", "Upgrade: x\r\n", "";
    length_with_plus: "HTTP/1.1 200 OK", "Content-Length: +2\r\n", "hi";
    length_with_minus: "HTTP/1.1 200 OK", "Content-Length: -2\r\n", "hi";
    length_with_prefix: "HTTP/1.1 200 OK", "Content-Length: 0x2\r\n", "hi";
    length_with_fraction: "HTTP/1.1 200 OK", "Content-Length: 2.0\r\n", "hi";
    length_with_letter: "HTTP/1.1 200 OK", "Content-Length: 2a\r\n", "hi";
    length_with_blank: "HTTP/1.1 200 OK", "Content-Length: 2 2\r\n", "hi";
    length_with_other_blank: "HTTP/1.1 200 OK", "Content-Length: \u{a0}2\r\n", "hi";
    list_of_lengths: "HTTP/1.1 200 OK", "Content-Length: 2, 2\r\n", "hi";
    empty_length: "HTTP/1.1 200 OK", "Content-Length:\r\n", "hi";
    huge_length: "HTTP/1.1 200 OK", "Content-Length: 18446744073709551618\r\n", "hi";
    two_lengths: "HTTP/1.1 200 OK", "Content-Length: 2\r\nContent-Length: 1\r\n", "hi";
    length_that_is_too_small: "HTTP/1.1 200 OK", "Content-Length: 1\r\n", "hi";
    length_that_is_too_large: "HTTP/1.1 200 OK", "Content-Length: 3\r\n", "hi";
    length_of_nothing: "HTTP/1.1 200 OK", "Content-Length: 0\r\n", "hi";
    length_beside_chunks: "HTTP/1.1 200 OK", "Content-Length: 12\r\nTransfer-Encoding: chunked\r\n",
        "2\r\nhi\r\n0\r\n\r\n";
    chunks_beside_length: "HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n",
        "2\r\nhi\r\n0\r\n\r\n";
    two_transfer_encodings: "HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "2\r\nhi\r\n0\r\n\r\n";
    list_of_transfer_encodings: "HTTP/1.1 200 OK", "Transfer-Encoding: chunked, chunked\r\n",
        "2\r\nhi\r\n0\r\n\r\n";
    other_transfer_encoding: "HTTP/1.1 200 OK", "Transfer-Encoding: gzip\r\n", "hi";
    empty_transfer_encoding: "HTTP/1.1 200 OK", "Transfer-Encoding:\r\nContent-Length: 2\r\n", "hi";
    chunks_in_http_1_0: "HTTP/1.0 200 OK", "Transfer-Encoding: chunked\r\n", "2\r\nhi\r\n0\r\n\r\n";
    blank_in_field_name: "HTTP/1.1 200 OK", "Content Length: 2\r\n", "hi";
    blank_after_field_name: "HTTP/1.1 200 OK", "Content-Length : 2\r\n", "hi";
    blank_before_field_name: "HTTP/1.1 200 OK", " Content-Length: 2\r\n", "hi";
    tab_before_field_name: "HTTP/1.1 200 OK", "X-A: b\r\n\tContent-Length: 2\r\n", "hi";
    control_byte_in_field_name: "HTTP/1.1 200 OK", "Content\x01Length: 2\r\n", "hi";
    nul_in_field_name: "HTTP/1.1 200 OK", "Content\0Length: 2\r\n", "hi";
    delete_in_field_name: "HTTP/1.1 200 OK", "Content\x7fLength: 2\r\n", "hi";
    other_byte_in_field_name: "HTTP/1.1 200 OK", "Content\u{e9}Length: 2\r\n", "hi";
    separator_in_field_name: "HTTP/1.1 200 OK", "Content(Length: 2\r\n", "hi";
    empty_field_name: "HTTP/1.1 200 OK", ": 2\r\n", "hi";
    line_without_colon: "HTTP/1.1 200 OK", "Content-Length 2\r\n", "hi";
    line_of_text: "HTTP/1.1 200 OK", "hello\r\nContent-Length: 2\r\n", "hi";
    nul_in_value: "HTTP/1.1 200 OK", "X-A: b\0c\r\nContent-Length: 2\r\n", "hi";
    carriage_return_in_value: "HTTP/1.1 200 OK", "X-A: b\rc\r\nContent-Length: 2\r\n", "hi";
    line_feed_in_value: "HTTP/1.1 200 OK", "X-A: b\nContent-Length: 1\r\n", "h";
    two_ids: "HTTP/1.1 200 OK", "X-Id: r2\r\nX-Id: r1\r\nContent-Length: 2\r\n", "hi";
    chunk_without_size: "HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n", "2\r\nhi\r\n\r\n\r\n";
    chunk_with_blank_size: "HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n", "2\r\nhi\r\n \r\n\r\n";
    chunk_of_extensions_only: "HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n", "2\r\nhi\r\n;a=b\r\n\r\n";
    chunk_size_with_plus: "HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n", "+2\r\nhi\r\n0\r\n\r\n";
    chunk_size_with_prefix: "HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n", "0x2\r\nhi\r\n0\r\n\r\n";
    chunk_size_after_blank: "HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n", " 2\r\nhi\r\n0\r\n\r\n";
    chunk_size_before_blank: "HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n", "2 \r\nhi\r\n0\r\n\r\n";
    chunk_size_before_control_byte: "HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n",
        "2;\x01\r\nhi\r\n0\r\n\r\n";
    chunk_size_of_other_letters: "HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n", "g\r\nhi\r\n0\r\n\r\n";
    chunk_size_before_line_feed: "HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n", "2\nhi\r\n0\r\n\r\n";
    chunk_size_that_is_too_small: "HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n", "1\r\nhi\r\n0\r\n\r\n";
    chunk_size_that_is_too_large: "HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n", "3\r\nhi\r\n0\r\n\r\n";
    chunks_without_end: "HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n", "2\r\nhi\r\n";
    chunks_without_empty_line: "HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n", "2\r\nhi\r\n0\r\n";
    trailer_that_is_no_field: "HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n",
        "2\r\nhi\r\n0\r\nhello\r\n\r\n";
    trailer_with_blank_in_name: "HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n",
        "2\r\nhi\r\n0\r\nX A: b\r\n\r\n";
    bytes_after_chunks: "HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n", "2\r\nhi\r\n0\r\n\r\nthere";
    no_content_with_length: "HTTP/1.1 204 OK", "Content-Length: 2\r\n", "hi";
    no_content_with_chunks: "HTTP/1.1 204 OK", "Transfer-Encoding: chunked\r\n", "2\r\nhi\r\n0\r\n\r\n";
    no_content_with_bytes: "HTTP/1.1 204 OK", "", "hi";
    not_modified_with_bytes: "HTTP/1.1 304 OK", "", "hi";
    interim_response_with_length: "HTTP/1.1 103 OK", "Content-Length: 2\r\n", "hi";
    interim_response_with_chunks: "HTTP/1.1 103 OK", "Transfer-Encoding: chunked\r\n", "2\r\nhi\r\n0\r\n\r\n";
    failure_with_bytes: "HTTP/1.1 500 No", "Content-Length: 2\r\n", "hidden";
    rejection_with_spoilt_length: "HTTP/1.1 503 No", "X-Not-Run: 1\r\nContent-Length: +2\r\n", "hi";
}

/// Each case lists the status line, further fields, what follows the head, and the body that the caller gets.
macro_rules! sound_tests {
    ($($name:ident: $status:literal, $fields:literal, $body:literal => $expected:literal;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let bytes = format!("{}\r\n{FIELDS}{}\r\n{}", $status, $fields, $body);
            let ExchangeOutcome::Answered(response) = run(bytes.as_bytes()).await else {
                panic!("no response");
            };
            assert_eq!(response.body.to_bytes(), $expected);
        }
    )*};
}

sound_tests! {
    no_reason: "HTTP/1.1 200 ", "Content-Length: 2\r\n", "hi" => "hi";
    largest_status: "HTTP/1.1 599 No", "Content-Length: 2\r\n", "hi" => "hi";
    padded_length: "HTTP/1.1 200 OK", "Content-Length:\t 002 \t\r\n", "hi" => "hi";
    equal_lengths: "HTTP/1.1 200 OK", "Content-Length: 2\r\nContent-Length: 2\r\n", "hi" => "hi";
    unusual_field: "HTTP/1.1 200 OK", "!#$%&'*+.^_`|~: \u{e9}\r\nContent-Length: 2\r\n", "hi" => "hi";
    chunks_with_extensions: "HTTP/1.1 200 OK", "Transfer-Encoding: Chunked\r\n",
        "2;a;b=\"c;d\"\r\nhi\r\n000\r\nX-A: b\r\n\r\n" => "hi";
    until_close: "HTTP/1.0 200 OK", "", "hi" => "hi";
    no_content: "HTTP/1.1 204 OK", "Content-Length: 0\r\n", "" => "";
    length_of_another_response: "HTTP/1.1 304 OK", "Content-Length: 2\r\n", "" => "";
    interim_responses_first: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nX-A: b\r\n\r\nHTTP/1.1 200 OK",
        "Content-Length: 2\r\n", "hi" => "hi";
    second_copy: "HTTP/1.1 200 OK", "Content-Length: 2\r\n", "hiHTTP/1.1 200 OK\r\n" => "hi";
}
