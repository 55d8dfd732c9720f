//! Writes heads and bodies.

use bytes::{BufMut, Bytes, BytesMut};

use super::Response;

/// Room for the lines that are added to the fields.
const HEAD_ROOM: usize = 256;

/// Returns the usual phrase of a status.
#[must_use]
pub fn reason_phrase(status: u16) -> &'static str {
    hyper::StatusCode::from_u16(status)
        .ok()
        .and_then(|status| status.canonical_reason())
        .unwrap_or("Unknown")
}

/// Adds an answer to `out`; `extra` are whole lines of fields of this connection.
pub fn encode_response(out: &mut BytesMut, response: &Response, extra: &str, bodiless: bool) {
    let status = response.status;
    out.reserve(HEAD_ROOM + response.fields.len() + response.body.len());
    out.put_slice(format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status)).as_bytes());
    out.put_slice(&response.fields);
    out.put_slice(extra.as_bytes());
    let has_no_body = status < 200 || status == 204 || status == 304;
    if !has_no_body {
        out.put_slice(format!("Content-Length: {}\r\n", response.body.len()).as_bytes());
    }
    out.put_slice(b"\r\n");
    if !bodiless && !has_no_body {
        out.put_slice(&response.body);
    }
}

/// Returns a request as bytes; `extra` are whole lines of fields that the daemon adds.
#[must_use]
pub fn encode_request(
    method: &str,
    target: &str,
    fields: &[u8],
    extra: &str,
    body: &[u8],
) -> Bytes {
    let mut out = BytesMut::with_capacity(HEAD_ROOM + target.len() + fields.len() + body.len());
    out.put_slice(format!("{method} {target} HTTP/1.1\r\n").as_bytes());
    out.put_slice(fields);
    out.put_slice(extra.as_bytes());
    let may_omit = body.is_empty() && matches!(method, "GET" | "HEAD" | "OPTIONS" | "DELETE");
    if !may_omit {
        out.put_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
    }
    out.put_slice(b"\r\n");
    out.put_slice(body);
    out.freeze()
}
