//! Connections to the backend server beside the daemon.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, timeout, timeout_at};

use super::RequestBody;

/// How long an idle connection is kept.
const MAX_IDLE: Duration = Duration::from_secs(30);
/// How lately a connection must have been used for a request that may not be repeated.
const FRESH: Duration = Duration::from_millis(100);
/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a connection that has just answered may take to be ready again.
const READY_TIMEOUT: Duration = Duration::from_millis(20);
/// How long sent bytes may stay unacknowledged, or unread with nothing more taken, before the
/// connection counts as silent.
const SILENCE: Duration = Duration::from_secs(10);
/// How often a quiet connection is probed.
const KEEPALIVE: Duration = Duration::from_secs(3);

/// An open connection that nothing runs on.
pub struct BackendConnection {
    /// Sends one request at a time.
    pub sender: SendRequest<RequestBody>,
    /// Whether it has carried a request before.
    pub reused: bool,
    _permit: OwnedSemaphorePermit,
}

struct Idle {
    connection: BackendConnection,
    since: Instant,
}

/// The connections to one backend server, as many as it accepts.
pub struct BackendPool {
    address: SocketAddr,
    permits: Arc<Semaphore>,
    idle: Mutex<Vec<Idle>>,
}

impl BackendPool {
    /// Builds the pool of the backend server at `address`, which accepts `connections`.
    #[must_use]
    pub fn new(address: SocketAddr, connections: u32) -> Self {
        // One connection is left to the health probes.
        let count = usize::try_from(connections.saturating_sub(1).max(1)).unwrap_or(usize::MAX);
        Self {
            address,
            permits: Arc::new(Semaphore::new(count.min(Semaphore::MAX_PERMITS))),
            idle: Mutex::default(),
        }
    }

    /// Returns a connection for a request; one that may not be repeated goes only over a fresh one.
    ///
    /// # Errors
    ///
    /// When no connection can be opened by `deadline`; nothing was sent then.
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

    /// Opens a new connection, in the place of an idle one where there is no room.
    ///
    /// # Errors
    ///
    /// When it cannot be opened by `deadline`.
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
        configure_socket(&stream, SILENCE)?;
        let handshake = http1::handshake::<_, RequestBody>(TokioIo::new(stream));
        let (sender, connection) = handshake.await.map_err(io::Error::other)?;
        // The task ends when the sender is dropped or the backend server closes.
        tokio::spawn(connection);
        Ok(BackendConnection {
            sender,
            reused: false,
            _permit: permit,
        })
    }

    /// Takes a connection back after a whole answer.
    pub fn release(&self, connection: BackendConnection) {
        if connection.sender.is_closed() {
            return;
        }
        let since = Instant::now();
        let mut idle = self.lock();
        idle.retain(|idle| idle.since.elapsed() < MAX_IDLE && !idle.connection.sender.is_closed());
        idle.push(Idle { connection, since });
    }

    /// Returns whether there are several idle connections and all of them were closed.
    #[must_use]
    pub fn lost_all(&self) -> bool {
        let idle = self.lock();
        idle.len() > 1 && idle.iter().all(|idle| idle.connection.sender.is_closed())
    }

    /// Returns the connection that was used last, if it will do.
    fn pop(&self, idempotent: bool) -> Option<Idle> {
        let limit = if idempotent { MAX_IDLE } else { FRESH };
        let mut idle = self.lock();
        while let Some(last) = idle.last() {
            if last.connection.sender.is_closed() {
                idle.pop();
            } else if last.since.elapsed() < limit {
                return idle.pop();
            } else {
                // The ones before it have been idle for longer still.
                return None;
            }
        }
        None
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Idle>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Makes the system close a connection of which the other end has gone without a word, or has taken
/// nothing for `silence`.
pub(crate) fn configure_socket(stream: &TcpStream, silence: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE)
        .with_retries(2);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(silence))
}
