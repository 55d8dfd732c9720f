//! Asks a backend server who it is.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::HeaderNames;
use crate::http1::{ResponseReader, encode_request};

/// How long an answer may take; it may wait for a slot like any request.
const TIMEOUT: Duration = Duration::from_millis(500);
/// The largest body of an answer.
const MAX_BODY: u64 = 64 << 10;
const OK: u16 = 200;

/// Returns the identity of the backend server at `address` if it says that it is healthy and not
/// leaving.
///
/// # Errors
///
/// When it does not answer in order and in time.
pub async fn probe(
    address: SocketAddr,
    path: &str,
    names: &Arc<HeaderNames>,
) -> std::io::Result<Option<Arc<str>>> {
    timeout(TIMEOUT, ask(address, path, names)).await?
}

async fn ask(
    address: SocketAddr,
    path: &str,
    names: &Arc<HeaderNames>,
) -> std::io::Result<Option<Arc<str>>> {
    let mut stream = TcpStream::connect(address).await?;
    let extra = format!("Host: {address}\r\nConnection: close\r\n");
    let request = encode_request("GET", path, &[], &extra, &[]);
    stream.write_all(&request).await?;
    let mut reader = ResponseReader::new(names.clone(), false, MAX_BODY);
    let mut input = BytesMut::new();
    loop {
        if let Some(answer) = reader.next(&mut input).map_err(std::io::Error::other)? {
            let is_healthy = answer.response.status == OK;
            return Ok(answer.identity.filter(|_| is_healthy));
        }
        if stream.read_buf(&mut input).await? == 0 {
            let answer = reader.finish().map_err(std::io::Error::other)?;
            let is_healthy = answer.response.status == OK;
            return Ok(answer.identity.filter(|_| is_healthy));
        }
    }
}
