//! One connection to the backend server.

use std::time::Duration;

use bytes::BytesMut;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// A connection and its read buffer.
#[derive(Debug)]
pub struct BackendConn {
    /// The socket.
    pub stream: TcpStream,
    /// Bytes that were read but not yet parsed.
    pub input: BytesMut,
    /// When the last exchange ended.
    pub idle_since: Instant,
    /// How long the connection may be idle before it is closed.
    pub idle_timeout: Duration,
}

impl BackendConn {
    /// Returns whether the backend server has neither closed the connection nor sent anything since the
    /// last exchange. Bytes sent since then belong to no pending request.
    pub fn is_reusable(&self) -> bool {
        let mut byte = [0];
        match self.stream.try_read(&mut byte) {
            Err(error) => error.kind() == std::io::ErrorKind::WouldBlock,
            Ok(_) => false,
        }
    }
}
