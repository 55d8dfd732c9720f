//! Requests as callers send them.

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

/// Feeds `text` in pieces of `step` bytes and returns the requests or the fault.
fn read(text: &str, step: usize) -> Result<Vec<Request>, HttpError> {
    let mut reader = RequestReader::new(names());
    let mut input = BytesMut::new();
    let mut requests = Vec::new();
    for piece in text.as_bytes().chunks(step) {
        input.extend_from_slice(piece);
        while let Some(request) = reader.next(&mut input, &limits(), Instant::now())? {
            requests.push(request);
        }
    }
    Ok(requests)
}

/// Names bytes and the bodies of the requests in them, whatever the pieces they come in.
macro_rules! bodies {
    ($($name:ident: $text:expr => [$($body:literal),*];)*) => {$(
        #[test]
        fn $name() {
            for step in [1, 2, 7, 1_000] {
                let requests = read($text, step).expect("proper requests");
                let bodies: Vec<&[u8]> = requests.iter().map(|request| &*request.body).collect();
                let wanted: Vec<&[u8]> = vec![$($body.as_bytes()),*];
                assert_eq!(bodies, wanted, "in steps of {step}");
            }
        }
    )*};
}

bodies! {
    without_body: "GET /a HTTP/1.1\r\nHost: x\r\n\r\n" => [""];
    with_length: "PUT /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc" => ["abc"];
    in_chunks: "PUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n"
        => ["abcde"];
    with_trailer: "PUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX: y\r\n\r\n" => ["a"];
    pipelined: "GET /a HTTP/1.1\r\n\r\nPUT /b HTTP/1.1\r\nContent-Length: 1\r\n\r\nxGET /c HTTP/1.1\r\n\r\n"
        => ["", "x", ""];
    behind_an_empty_line: "\r\nGET /a HTTP/1.1\r\n\r\n" => [""];
}

/// Names bytes and the status with which they are refused.
macro_rules! refuses {
    ($($name:ident: $text:expr => $status:literal;)*) => {$(
        #[test]
        fn $name() {
            let fault = read($text, 1_000).expect_err("no proper request");
            assert_eq!(Rejection::from(fault).status, $status);
        }
    )*};
}

refuses! {
    no_http: "hello there\r\n\r\n" => 400;
    both_framings: "PUT /a HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n" => 400;
    two_lengths: "PUT /a HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n" => 400;
    signed_length: "PUT /a HTTP/1.1\r\nContent-Length: +1\r\n\r\n" => 400;
    unknown_framing: "PUT /a HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n" => 400;
    broken_chunk: "PUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n" => 400;
    large_head: &format!("GET /{} HTTP/1.1\r\n\r\n", "a".repeat(300)) => 431;
    large_body: "PUT /a HTTP/1.1\r\nContent-Length: 21\r\n\r\n" => 413;
    large_chunks: &format!("PUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n15\r\n{}\r\n", "a".repeat(21))
        => 413;
}

#[test]
fn passes_on_what_is_for_the_backend_server_only() {
    let text = "GET /a HTTP/1.1\r\nHost: x\r\nX-Id: r1\r\nX-Left: 250\r\nX-Origin: forged\r\n\
        X-Expected: forged\r\nConnection: X-Hop\r\nX-Hop: 1\r\nAccept: */*\r\n\r\n";
    let request = read(text, 1_000).expect("a proper request").remove(0);
    assert_eq!(&*request.fields, b"Host: x\r\nX-Id: r1\r\nAccept: */*\r\n");
    assert_eq!(request.id.as_deref(), Some("r1"));
    assert_eq!(
        request.caller_timeout,
        Some(std::time::Duration::from_millis(250))
    );
}

/// Names the version and the field `Connection`, and whether the caller closes the connection.
macro_rules! closes {
    ($($name:ident: $version:literal, $field:literal => $close:literal;)*) => {$(
        #[test]
        fn $name() {
            let text = format!("GET /a HTTP/1.{}\r\nConnection: {}\r\n\r\n", $version, $field);
            let request = read(&text, 1_000).expect("a proper request").remove(0);
            assert_eq!(request.close, $close);
        }
    )*};
}

closes! {
    kept_alive: 1, "keep-alive" => false;
    closed: 1, "Close" => true;
    old_version: 0, "x" => true;
    old_version_kept_alive: 0, "Keep-Alive" => false;
}
