//! Reads the start of a request body for its fingerprint.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;
use marigold_request::quarantine::Fingerprint;
use tokio::time::timeout;

use super::RequestBody;
use super::collect::resume;

/// How long each frame is waited for. Data that arrives later is left out of the fingerprint.
const PEEK_TIMEOUT: Duration = Duration::from_millis(50);

/// Returns the start of `body`, and a body that still yields all of it.
pub async fn peek(body: RequestBody) -> (Bytes, RequestBody) {
    if body.is_end_stream() {
        return (Bytes::new(), body);
    }
    let mut rest = body;
    let mut parts = Vec::new();
    let mut start = BytesMut::new();
    // Cancelling the read is safe: it loses no frame.
    while start.len() < Fingerprint::BODY_BYTES {
        let Ok(Some(frame)) = timeout(PEEK_TIMEOUT, rest.frame()).await else {
            break;
        };
        if let Ok(frame) = &frame
            && let Some(data) = frame.data_ref()
        {
            start.extend_from_slice(data);
        }
        let failed = frame.is_err();
        parts.push(frame);
        if failed {
            break;
        }
    }
    (start.freeze(), resume(parts, rest))
}
