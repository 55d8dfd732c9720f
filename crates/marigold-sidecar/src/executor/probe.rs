//! Health check of a backend server, which also returns its identity.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::BackendStatement;
use crate::HeaderNames;
use crate::http1::{ParsedResponse, ResponseReader, encode_request};

/// Includes a wait for a free slot, since the backend server handles a probe like any request.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Responses with a larger body are an error.
const MAX_BODY_BYTES: u64 = 64 << 10;
const STATUS_OK: u16 = 200;

/// The response to a health check.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProbeResponse {
    /// The identity of the backend server, or `None` if it reports that it is unhealthy or draining.
    pub identity: Option<Arc<str>>,
    /// What else the response says about it.
    pub statement: BackendStatement,
}

/// Asks the backend server at `address` for its health.
///
/// # Errors
///
/// If there is no valid response in time.
pub async fn probe(
    address: SocketAddr,
    path: &str,
    names: &Arc<HeaderNames>,
) -> std::io::Result<ProbeResponse> {
    timeout(PROBE_TIMEOUT, request_identity(address, path, names)).await?
}

async fn request_identity(
    address: SocketAddr,
    path: &str,
    names: &Arc<HeaderNames>,
) -> std::io::Result<ProbeResponse> {
    let mut stream = TcpStream::connect(address).await?;
    let extra = format!("Host: {address}\r\nConnection: close\r\n");
    let request = encode_request("GET", path, &[], &extra, &[], 0);
    stream.write_all(&request).await?;
    let mut reader = ResponseReader::new(names.clone(), false, MAX_BODY_BYTES);
    let mut input = BytesMut::new();
    loop {
        if let Some(parsed) = reader.next(&mut input).map_err(std::io::Error::other)? {
            if !input.is_empty() {
                return Err(std::io::Error::other("bytes after the response"));
            }
            return Ok(probe_response(parsed));
        }
        if stream.read_buf(&mut input).await? == 0 {
            let parsed = reader.finish().map_err(std::io::Error::other)?;
            return Ok(probe_response(parsed));
        }
    }
}

fn probe_response(parsed: ParsedResponse) -> ProbeResponse {
    let is_healthy = parsed.response.status == STATUS_OK;
    ProbeResponse {
        identity: parsed.identity.filter(|_| is_healthy),
        statement: BackendStatement {
            request_limit: parsed.request_limit.as_deref().map(Arc::from),
            leaving: parsed.leaving,
            has_run: is_healthy,
        },
    }
}
