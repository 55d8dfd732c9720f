//! The server of the operators' side.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Arc, mpsc};
use std::thread::JoinHandle;
use std::time::Duration;

use rouille::Server;
use tokio::task::AbortHandle;

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
    stop: mpsc::Sender<()>,
    thread: Option<JoinHandle<()>>,
    tasks: [AbortHandle; 2],
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
        };
        let gate = runtime.spawn(gate.run(listener)).abort_handle();
        let expiry = runtime.spawn(async move { keeper.run().await });
        let (thread, stop) = server.stoppable();
        Ok(Self {
            address,
            stop,
            thread: Some(thread),
            tasks: [gate, expiry.abort_handle()],
        })
    }

    /// Returns where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for AdminServer {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
        // The thread may be gone already, and then there is nobody to tell.
        let _ = self.stop.send(());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
