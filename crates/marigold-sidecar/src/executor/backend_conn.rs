//! One connection to the backend server.

use std::time::Duration;

use bytes::BytesMut;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// A connection with what was read from it and not yet used.
#[derive(Debug)]
pub struct BackendConn {
    /// The connection.
    pub stream: TcpStream,
    /// Bytes that were read and not yet used.
    pub input: BytesMut,
    /// When its last exchange ended.
    pub idle_since: Instant,
    /// How long the backend server keeps it without a request.
    pub idle_timeout: Duration,
}

impl BackendConn {
    /// Returns whether the other end has sent nothing since the last exchange and not closed.
    ///
    /// Bytes that came meanwhile belong to no request that is still open.
    pub fn is_quiet(&self) -> bool {
        let mut byte = [0];
        match self.stream.try_read(&mut byte) {
            Err(error) => error.kind() == std::io::ErrorKind::WouldBlock,
            Ok(_) => false,
        }
    }
}
