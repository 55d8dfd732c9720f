//! Pool of connections to the local backend server.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use super::backend_conn::BackendConn;
use crate::link::set_socket_options;

/// Timeout for opening a connection. Both ends are on the same host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum idle time of a connection.
const MAX_IDLE_TIME: Duration = Duration::from_secs(5);
/// Maximum idle time of a connection that carries a non-idempotent request. Such a request must not be
/// repeated, so it would be lost if the backend server closed the connection at the same time.
const MAX_IDLE_TIME_NON_IDEMPOTENT: Duration = Duration::from_millis(500);
/// A connection is closed this long before the idle timeout that the backend server has announced.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// The connection fails once sent bytes have been unacknowledged for this long.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(5);

/// Connections to one process of the backend server; a restarted one gets a new pool.
#[derive(Debug)]
pub struct BackendPool {
    address: SocketAddr,
    idle: RefCell<Vec<BackendConn>>,
    opened: Cell<u64>,
}

impl BackendPool {
    /// Creates an empty pool of connections to `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: RefCell::default(),
            opened: Cell::new(0),
        }
    }

    /// Returns an idle connection, or opens one.
    ///
    /// # Errors
    ///
    /// If no connection can be opened. No part of a request has been sent then.
    pub async fn acquire(&self, idempotent: bool) -> io::Result<BackendConn> {
        match self.pop(idempotent) {
            Some(conn) => Ok(conn),
            None => self.open().await,
        }
    }

    /// Returns whether the backend server has ended: no process accepts connections at its address.
    pub async fn has_ended(&self) -> bool {
        match self.open().await {
            Ok(conn) => {
                self.release(conn, None);
                false
            }
            Err(error) => error.kind() == io::ErrorKind::ConnectionRefused,
        }
    }

    async fn open(&self) -> io::Result<BackendConn> {
        self.opened.set(self.opened.get() + 1);
        metrics::counter!("marigold_backend_connections_total").increment(1);
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await??;
        set_socket_options(&stream, UNACKED_TIMEOUT)?;
        Ok(BackendConn {
            stream,
            input: BytesMut::new(),
            idle_since: Instant::now(),
            idle_timeout: MAX_IDLE_TIME,
        })
    }

    /// Returns a connection to the pool after a complete exchange. `idle_timeout` is the one announced by the
    /// backend server, if any.
    pub fn release(&self, mut conn: BackendConn, idle_timeout: Option<Duration>) {
        if let Some(timeout) = idle_timeout {
            conn.idle_timeout = timeout.saturating_sub(IDLE_MARGIN).min(MAX_IDLE_TIME);
        }
        conn.idle_since = Instant::now();
        self.idle.borrow_mut().push(conn);
    }

    /// Closes connections that have exceeded their idle timeout.
    pub fn prune(&self) {
        let now = Instant::now();
        let is_alive =
            |conn: &BackendConn| now.saturating_duration_since(conn.idle_since) < conn.idle_timeout;
        self.idle.borrow_mut().retain(is_alive);
    }

    /// Removes the most recently used connection, which is the least likely to have been closed.
    fn pop(&self, idempotent: bool) -> Option<BackendConn> {
        loop {
            let conn = self.idle.borrow_mut().pop()?;
            let idle = conn.idle_since.elapsed();
            let limit = if idempotent {
                conn.idle_timeout
            } else {
                conn.idle_timeout.min(MAX_IDLE_TIME_NON_IDEMPOTENT)
            };
            if idle >= limit {
                // All other connections have been idle for longer.
                if idle >= conn.idle_timeout {
                    self.idle.borrow_mut().clear();
                } else {
                    self.idle.borrow_mut().push(conn);
                }
                return None;
            }
            if conn.is_reusable() {
                return Some(conn);
            }
        }
    }
}
