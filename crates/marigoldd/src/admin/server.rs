//! The server of the operators' side.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Arc, mpsc};
use std::thread::JoinHandle;
use std::time::Duration;

use rouille::Server;
use tokio_util::sync::CancellationToken;

use super::AdminError;
use super::announcements::Announcements;
use super::gate::{Gate, Peers};
use super::operators;
use super::parts::AdminParts;
use super::routes::Routes;

/// How many requests are answered at once.
const THREADS: usize = 16;
/// How much longer than the longest request a connection may last.
const MARGIN: Duration = Duration::from_secs(10);

/// A running server with threads of its own; it ends when it is dropped.
pub struct AdminServer {
    address: SocketAddr,
    end: mpsc::Sender<()>,
    thread: Option<JoinHandle<()>>,
    stop: CancellationToken,
}

impl AdminServer {
    /// Starts to answer on `listener`.
    ///
    /// The library binds by itself, on loopback, and a [`Gate`] hands it what comes.
    ///
    /// # Errors
    ///
    /// When the listener or a port on loopback cannot be used.
    pub fn start(parts: AdminParts, listener: TcpListener) -> Result<Self, AdminError> {
        let wanted = parts.shared.settings.admin.listen;
        let fail = |reason: String| AdminError {
            address: wanted,
            reason: Arc::from(reason),
        };
        let io = |error: std::io::Error| fail(error.to_string());
        let runtime = parts.runtime.clone();
        let _context = runtime.enter();
        listener.set_nonblocking(true).map_err(io)?;
        let listener = tokio::net::TcpListener::from_std(listener).map_err(io)?;
        let address = listener.local_addr().map_err(io)?;

        let stop = CancellationToken::new();
        let peers = Peers::default();
        let lifetime = operators::longest(&parts) + MARGIN;
        let announcements = Arc::new(Announcements::new(parts.shared.clone()));
        let keeper = announcements.clone();
        let routes = Routes::new(parts, announcements, peers.clone());
        let loopback = (Ipv4Addr::LOCALHOST, 0);
        let server = Server::new(loopback, move |request| routes.handle(request))
            .map_err(|error| fail(error.to_string()))?
            .pool_size(THREADS);
        let gate = Gate {
            inner: server.server_addr(),
            lifetime,
            peers,
            stop: stop.clone(),
        };
        runtime.spawn(gate.run(listener));
        let expiry = stop.clone();
        runtime.spawn(async move { expiry.run_until_cancelled(keeper.run()).await });
        let (thread, end) = server.stoppable();
        Ok(Self {
            address,
            end,
            thread: Some(thread),
            stop,
        })
    }

    /// Returns where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cuts every connection and takes no more.
    pub fn close(&self) {
        self.stop.cancel();
    }
}

impl Drop for AdminServer {
    fn drop(&mut self) {
        self.close();
        // The thread may be gone already, and then there is nobody to tell.
        let _ = self.end.send(());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
