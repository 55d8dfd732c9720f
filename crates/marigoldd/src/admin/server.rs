//! The HTTP server of the admin API.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Arc, mpsc};
use std::thread::JoinHandle;
use std::time::Duration;

use rouille::Server;
use tokio_util::sync::CancellationToken;

use super::AdminError;
use super::announcements::Announcements;
use super::limiting_proxy::{LimitingProxy, PeerMap};
use super::operators;
use super::parts::AdminParts;
use super::routes::Routes;

/// The number of requests that are handled concurrently.
const WORKER_THREADS: usize = 16;
/// How much longer a connection may last than the longest request.
const LIFETIME_MARGIN: Duration = Duration::from_secs(10);

/// A running admin server with its own threads; it stops when dropped.
pub struct AdminServer {
    address: SocketAddr,
    shutdown: mpsc::Sender<()>,
    thread: Option<JoinHandle<()>>,
    stop: CancellationToken,
}

impl AdminServer {
    /// Starts serving on `listener`.
    ///
    /// The HTTP library can only bind a socket itself. It listens on loopback, and a
    /// [`LimitingProxy`] forwards connections to it.
    ///
    /// # Errors
    ///
    /// When the listener or a loopback port is not usable.
    pub fn start(parts: AdminParts, listener: TcpListener) -> Result<Self, AdminError> {
        let configured = parts.shared.settings.admin.listen;
        let fail = |reason: String| AdminError {
            address: configured,
            reason: Arc::from(reason),
        };
        let io = |error: std::io::Error| fail(error.to_string());
        let runtime = parts.runtime.clone();
        let _context = runtime.enter();
        listener.set_nonblocking(true).map_err(io)?;
        let listener = tokio::net::TcpListener::from_std(listener).map_err(io)?;
        let address = listener.local_addr().map_err(io)?;

        let stop = CancellationToken::new();
        let peers = PeerMap::default();
        let lifetime = operators::max_request_duration(&parts) + LIFETIME_MARGIN;
        let announcements = Arc::new(Announcements::new(parts.shared.clone()));
        let expiring = announcements.clone();
        let routes = Routes::new(parts, announcements, peers.clone());
        let loopback = (Ipv4Addr::LOCALHOST, 0);
        let server = Server::new(loopback, move |request| routes.handle(request))
            .map_err(|error| fail(error.to_string()))?
            .pool_size(WORKER_THREADS);
        let proxy = LimitingProxy {
            server: server.server_addr(),
            lifetime,
            peers,
            stop: stop.clone(),
        };
        runtime.spawn(proxy.run(listener));
        let expiry_stop = stop.clone();
        runtime.spawn(async move { expiry_stop.run_until_cancelled(expiring.run()).await });
        let (thread, shutdown) = server.stoppable();
        Ok(Self {
            address,
            shutdown,
            thread: Some(thread),
            stop,
        })
    }

    /// Returns the address that operators connect to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes all connections and stops accepting new ones.
    pub fn close(&self) {
        self.stop.cancel();
    }
}

impl Drop for AdminServer {
    fn drop(&mut self) {
        self.close();
        // The send fails if the thread has already exited.
        let _ = self.shutdown.send(());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
