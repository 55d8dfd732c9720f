//! Encoding of requests and responses.

use bytes::{BufMut, Bytes, BytesMut};

use super::Response;

/// Buffer space reserved for the start line and the fields that the daemon adds.
const HEAD_RESERVE_BYTES: usize = 256;

/// Returns the standard reason phrase of a status, or `Unknown`.
#[must_use]
pub fn reason_phrase(status: u16) -> &'static str {
    hyper::StatusCode::from_u16(status)
        .ok()
        .and_then(|status| status.canonical_reason())
        .unwrap_or("Unknown")
}

/// Appends the head of a response to `out`, and returns whether its body follows. `extra` contains further header fields,
/// each with its line break; `bodiless` omits the body but not its length, as the response to `HEAD` requires.
pub fn encode_response_head(
    out: &mut BytesMut,
    response: &Response,
    extra: &str,
    bodiless: bool,
) -> bool {
    let status = response.status;
    out.put_slice(format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status)).as_bytes());
    out.put_slice(&response.fields);
    out.put_slice(extra.as_bytes());
    let has_no_body = status < 200 || status == 204 || status == 304;
    if !has_no_body {
        out.put_slice(format!("Content-Length: {}\r\n", response.body.len()).as_bytes());
    }
    out.put_slice(b"\r\n");
    !bodiless && !has_no_body
}

/// Returns the buffer space to reserve for the head of a response.
#[must_use]
pub fn response_head_size(response: &Response) -> usize {
    HEAD_RESERVE_BYTES + response.fields.len()
}

/// Encodes a request, whose body of `body_len` bytes begins with `body`. `extra` contains further header fields, each with
/// its line break.
#[must_use]
pub fn encode_request(
    method: &str,
    target: &str,
    fields: &[u8],
    extra: &str,
    body: &[u8],
    body_len: usize,
) -> Bytes {
    let mut out =
        BytesMut::with_capacity(HEAD_RESERVE_BYTES + target.len() + fields.len() + body.len());
    out.put_slice(format!("{method} {target} HTTP/1.1\r\n").as_bytes());
    out.put_slice(fields);
    out.put_slice(extra.as_bytes());
    let may_omit_length = body_len == 0 && matches!(method, "GET" | "HEAD" | "OPTIONS" | "DELETE");
    if !may_omit_length {
        out.put_slice(format!("Content-Length: {body_len}\r\n").as_bytes());
    }
    out.put_slice(b"\r\n");
    out.put_slice(body);
    out.freeze()
}
