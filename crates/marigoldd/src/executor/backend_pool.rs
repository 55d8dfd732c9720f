//! Connection pool of the local backend server.

use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout, timeout_at};

use super::RequestBody;

/// How long an idle connection is reused.
const MAX_IDLE_TIME: Duration = Duration::from_secs(30);
/// The longest idle time of a connection that may carry a request that is not idempotent.
const MAX_IDLE_TIME_NON_IDEMPOTENT: Duration = Duration::from_millis(100);
/// The limit on establishing a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a reused connection may take to become ready for the next request.
const READY_TIMEOUT: Duration = Duration::from_millis(20);
/// How long sent bytes may stay unacknowledged, or the receive window closed, before the connection
/// is dropped as silent.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(10);
/// The idle time before the first TCP keepalive probe, and the time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(3);

/// An open connection with no request on it.
pub struct BackendConnection {
    /// Sends one request at a time.
    pub sender: SendRequest<RequestBody>,
    /// Whether it carried an earlier request.
    pub reused: bool,
    /// Ends with the connection, and tells whether the backend server sent bytes that belong to no response.
    task: JoinHandle<bool>,
    _permit: OwnedSemaphorePermit,
}

impl BackendConnection {
    /// Returns whether the backend server has sent bytes beyond a complete response, whose length is wrong then.
    pub async fn has_excess(&mut self) -> bool {
        let ready = timeout(READY_TIMEOUT, self.sender.ready()).await;
        if !matches!(ready, Ok(Err(_))) {
            return false;
        }
        let ended = timeout(READY_TIMEOUT, &mut self.task).await;
        matches!(ended, Ok(Ok(true)))
    }
}

/// Returns whether a connection ended since bytes came with no request waiting. Only this error has neither a cause nor a
/// kind of its own.
fn is_unexpected_message(error: &hyper::Error) -> bool {
    let has_kind = error.is_parse()
        || error.is_incomplete_message()
        || error.is_canceled()
        || error.is_closed()
        || error.is_timeout();
    error.source().is_none() && !has_kind
}

struct Idle {
    connection: BackendConnection,
    since: Instant,
}

/// The connections to one backend server, limited to the number that it accepts.
pub struct BackendPool {
    address: SocketAddr,
    permits: Arc<Semaphore>,
    idle: Mutex<Vec<Idle>>,
}

impl BackendPool {
    /// Creates the pool of the backend server at `address`, which accepts `connections`
    /// connections.
    #[must_use]
    pub fn new(address: SocketAddr, connections: u32) -> Self {
        // One connection is reserved for health probes.
        let count = usize::try_from(connections.saturating_sub(1).max(1)).unwrap_or(usize::MAX);
        Self {
            address,
            permits: Arc::new(Semaphore::new(count.min(Semaphore::MAX_PERMITS))),
            idle: Mutex::default(),
        }
    }

    /// Returns a connection for a request.
    ///
    /// A request that is not idempotent reuses only a connection that was in use very recently.
    ///
    /// # Errors
    ///
    /// If no connection can be opened by `deadline`. Nothing was sent then.
    pub async fn acquire(
        &self,
        idempotent: bool,
        deadline: Instant,
    ) -> io::Result<BackendConnection> {
        while let Some(idle) = self.pop(idempotent) {
            let mut connection = idle.connection;
            let ready = timeout(READY_TIMEOUT, connection.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                connection.reused = true;
                return Ok(connection);
            }
        }
        self.open(deadline).await
    }

    /// Opens a new connection, closing an idle one if the limit is reached.
    ///
    /// # Errors
    ///
    /// If it cannot be opened by `deadline`.
    pub async fn open(&self, deadline: Instant) -> io::Result<BackendConnection> {
        let permit = if let Ok(permit) = self.permits.clone().try_acquire_owned() {
            permit
        } else {
            drop(self.pop(true));
            let waiting = timeout_at(deadline, self.permits.clone().acquire_owned());
            waiting.await?.map_err(io::Error::other)?
        };
        let until = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        let stream = timeout_at(until, TcpStream::connect(self.address)).await??;
        configure_socket(&stream, SILENCE_TIMEOUT)?;
        let handshake = http1::handshake::<_, RequestBody>(TokioIo::new(stream));
        let (sender, connection) = handshake.await.map_err(io::Error::other)?;
        // The task ends when the sender is dropped or the backend server closes.
        let task = tokio::spawn(async move {
            let result = connection.await;
            result.is_err_and(|error| is_unexpected_message(&error))
        });
        Ok(BackendConnection {
            sender,
            reused: false,
            task,
            _permit: permit,
        })
    }

    /// Returns a connection to the pool after a complete answer.
    pub fn release(&self, connection: BackendConnection) {
        if connection.sender.is_closed() {
            return;
        }
        let since = Instant::now();
        let mut idle = self.lock();
        idle.retain(|idle| {
            idle.since.elapsed() < MAX_IDLE_TIME && !idle.connection.sender.is_closed()
        });
        idle.push(Idle { connection, since });
    }

    /// Returns whether there are at least two idle connections and all of them were closed.
    #[must_use]
    pub fn all_idle_closed(&self) -> bool {
        let idle = self.lock();
        idle.len() > 1 && idle.iter().all(|idle| idle.connection.sender.is_closed())
    }

    /// Removes the most recently used idle connection, if it may carry the request.
    fn pop(&self, idempotent: bool) -> Option<Idle> {
        let limit = if idempotent {
            MAX_IDLE_TIME
        } else {
            MAX_IDLE_TIME_NON_IDEMPOTENT
        };
        let mut idle = self.lock();
        while let Some(last) = idle.last() {
            if last.connection.sender.is_closed() {
                idle.pop();
            } else if last.since.elapsed() < limit {
                return idle.pop();
            } else {
                // The others have been idle for longer.
                return None;
            }
        }
        None
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Idle>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Configures a socket so that the kernel closes the connection if the peer vanishes without
/// closing it, or accepts no data for `silence_timeout`.
pub(crate) fn configure_socket(stream: &TcpStream, silence_timeout: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(2);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(silence_timeout))
}
