//! Connections to the backend server beside the daemon.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use super::backend_conn::BackendConn;
use crate::link::set_socket_options;

/// How long a connection may take to open; both ends are on one instance.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long an idle connection is kept at most.
const MAX_IDLE: Duration = Duration::from_secs(5);
/// How lately a connection must have been used for a request that may not be repeated: a request that
/// meets the backend server's own close would be lost.
const FRESH: Duration = Duration::from_millis(500);
/// What is left of the announced idle time when a connection is given up.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// How long sent bytes may stay unacknowledged.
const UNACKED: Duration = Duration::from_secs(5);

/// Keeps the connections to one life of the backend server.
#[derive(Debug)]
pub struct BackendPool {
    address: SocketAddr,
    idle: RefCell<Vec<BackendConn>>,
    opened: Cell<u64>,
}

impl BackendPool {
    /// Builds an empty pool of connections to `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: RefCell::default(),
            opened: Cell::new(0),
        }
    }

    /// Returns a connection for a request.
    ///
    /// # Errors
    ///
    /// When none can be opened; nothing was sent then.
    pub async fn acquire(&self, idempotent: bool) -> io::Result<BackendConn> {
        if let Some(conn) = self.pop(idempotent) {
            return Ok(conn);
        }
        self.opened.set(self.opened.get() + 1);
        metrics::counter!("marigold_backend_connections_total").increment(1);
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await??;
        set_socket_options(&stream, UNACKED)?;
        Ok(BackendConn {
            stream,
            input: BytesMut::new(),
            idle_since: Instant::now(),
            idle_timeout: MAX_IDLE,
        })
    }

    /// Takes back a connection whose exchange has ended in order.
    pub fn release(&self, mut conn: BackendConn, idle_timeout: Option<Duration>) {
        if let Some(time) = idle_timeout {
            conn.idle_timeout = time.saturating_sub(IDLE_MARGIN).min(MAX_IDLE);
        }
        conn.idle_since = Instant::now();
        self.idle.borrow_mut().push(conn);
    }

    /// Closes the connections that have been idle for too long.
    pub fn prune(&self) {
        let now = Instant::now();
        let is_young =
            |conn: &BackendConn| now.saturating_duration_since(conn.idle_since) < conn.idle_timeout;
        self.idle.borrow_mut().retain(is_young);
    }

    /// Takes the connection that was used last, since it is the least likely to have been closed.
    fn pop(&self, idempotent: bool) -> Option<BackendConn> {
        loop {
            let conn = self.idle.borrow_mut().pop()?;
            let idle = conn.idle_since.elapsed();
            let limit = if idempotent {
                conn.idle_timeout
            } else {
                conn.idle_timeout.min(FRESH)
            };
            if idle >= limit {
                // All others have been idle for longer.
                if idle >= conn.idle_timeout {
                    self.idle.borrow_mut().clear();
                } else {
                    self.idle.borrow_mut().push(conn);
                }
                return None;
            }
            if conn.is_quiet() {
                return Some(conn);
            }
        }
    }
}
