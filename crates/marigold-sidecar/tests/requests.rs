//! Parsing of callers' requests, valid and invalid.

mod common;

use bytes::BytesMut;
use common::names;
use marigold_dispatch::CallerLimits;
use marigold_sidecar::http1::{HttpError, Rejection, Request, RequestReader};
use marigold_types::ByteSize;
use tokio::time::Instant;

fn limits() -> CallerLimits {
    CallerLimits {
        max_head: ByteSize(200),
        max_body: ByteSize(20),
        ..CallerLimits::default()
    }
}

/// Feeds `text` to a reader in chunks of `chunk_len` bytes and returns the requests or the first error.
fn read(text: &str, chunk_len: usize) -> Result<Vec<Request>, HttpError> {
    let mut reader = RequestReader::new(names());
    let mut input = BytesMut::new();
    let mut requests = Vec::new();
    for chunk in text.as_bytes().chunks(chunk_len) {
        input.extend_from_slice(chunk);
        while let Some(request) = reader.next(&mut input, &limits(), Instant::now())? {
            requests.push(request);
        }
    }
    Ok(requests)
}

/// Each case lists the input and the bodies of its requests, which must not depend on the chunk length.
macro_rules! body_tests {
    ($($name:ident: $text:expr => [$($body:literal),*];)*) => {$(
        #[test]
        fn $name() {
            for chunk_len in [1, 2, 7, 1_000] {
                let requests = read($text, chunk_len).expect("valid requests");
                let bodies: Vec<_> = requests.iter().map(|request| request.body.to_bytes()).collect();
                let expected: Vec<&[u8]> = vec![$($body.as_bytes()),*];
                assert_eq!(bodies, expected, "chunks of {chunk_len} bytes");
            }
        }
    )*};
}

body_tests! {
    without_body: "GET /a HTTP/1.1\r\nHost: x\r\n\r\n" => [""];
    with_length: "PUT /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc" => ["abc"];
    chunked: "PUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n"
        => ["abcde"];
    with_trailer: "PUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX: y\r\n\r\n" => ["a"];
    pipelined: "GET /a HTTP/1.1\r\n\r\nPUT /b HTTP/1.1\r\nContent-Length: 1\r\n\r\nxGET /c HTTP/1.1\r\n\r\n"
        => ["", "x", ""];
    after_empty_line: "\r\nGET /a HTTP/1.1\r\n\r\n" => [""];
}

/// Each case lists an invalid input and the status of the response.
macro_rules! rejection_tests {
    ($($name:ident: $text:expr => $status:literal;)*) => {$(
        #[test]
        fn $name() {
            let error = read($text, 1_000).expect_err("an invalid request");
            assert_eq!(Rejection::from(error).status, $status);
        }
    )*};
}

rejection_tests! {
    not_http: "hello there\r\n\r\n" => 400;
    both_framings: "PUT /a HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n" => 400;
    conflicting_lengths: "PUT /a HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n" => 400;
    length_with_sign: "PUT /a HTTP/1.1\r\nContent-Length: +1\r\n\r\n" => 400;
    unsupported_transfer_encoding: "PUT /a HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n" => 400;
    chunks_in_http_1_0: "PUT /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" => 400;
    chunk_without_size: "PUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n\r\n\r\n" => 400;
    chunk_size_before_blank: "PUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1 \r\na\r\n" => 400;
    chunk_size_before_line_feed: "PUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\na\r\n" => 400;
    malformed_extension: "PUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;\x01\r\na\r\n" => 400;
    malformed_trailer: "PUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nhello\r\n\r\n" => 400;
    malformed_chunk_size: "PUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n" => 400;
    large_head: &format!("GET /{} HTTP/1.1\r\n\r\n", "a".repeat(300)) => 431;
    large_body: "PUT /a HTTP/1.1\r\nContent-Length: 21\r\n\r\n" => 413;
    large_chunked_body: &format!("PUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n15\r\n{}\r\n", "a".repeat(21))
        => 413;
}

#[test]
fn hop_by_hop_and_daemon_owned_fields_are_removed() {
    let text = "GET /a HTTP/1.1\r\nHost: x\r\nX-Id: r1\r\nX-Left: 250\r\nX-Origin: forged\r\n\
        X-Expected: forged\r\nConnection: X-Hop\r\nX-Hop: 1\r\nAccept: */*\r\n\r\n";
    let request = read(text, 1_000).expect("a valid request").remove(0);
    assert_eq!(&*request.fields, b"Host: x\r\nX-Id: r1\r\nAccept: */*\r\n");
    assert_eq!(request.id.as_deref(), Some("r1"));
    assert_eq!(
        request.caller_timeout,
        Some(std::time::Duration::from_millis(250))
    );
}

/// Each case lists what a caller says of the time that it waits, and the milliseconds that count.
macro_rules! timeout_tests {
    ($($name:ident: $value:literal => $millis:expr;)*) => {$(
        #[test]
        fn $name() {
            let text = format!("GET /a HTTP/1.1\r\nX-Left: {}\r\n\r\n", $value);
            let request = read(&text, 1_000).expect("a valid request").remove(0);
            let expected: Option<u64> = $millis;
            assert_eq!(request.caller_timeout, expected.map(std::time::Duration::from_millis));
        }
    )*};
}

timeout_tests! {
    whole_number: "250" => Some(250);
    fraction: "0.5e3" => Some(500);
    longest_time: "86400000" => Some(86_400_000);
    longer_time: "1e22" => Some(86_400_000);
    infinite_time: "inf" => Some(86_400_000);
    no_number: "NaN" => None;
    negative_number: "-1" => None;
    text: "soon" => None;
}

/// Each case lists the minor HTTP version, the `Connection` header and whether the connection is closed after
/// the response.
macro_rules! close_tests {
    ($($name:ident: $version:literal, $field:literal => $close:literal;)*) => {$(
        #[test]
        fn $name() {
            let text = format!("GET /a HTTP/1.{}\r\nConnection: {}\r\n\r\n", $version, $field);
            let request = read(&text, 1_000).expect("a valid request").remove(0);
            assert_eq!(request.close, $close);
        }
    )*};
}

close_tests! {
    keep_alive: 1, "keep-alive" => false;
    close: 1, "Close" => true;
    http_1_0: 0, "x" => true;
    http_1_0_keep_alive: 0, "Keep-Alive" => false;
}
