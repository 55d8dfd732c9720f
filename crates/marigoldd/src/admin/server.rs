//! The server of the operators' side.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, mpsc};
use std::thread::JoinHandle;

use rouille::Server;
use tokio::task::AbortHandle;

use super::AdminError;
use super::announcements::Announcements;
use super::parts::AdminParts;
use super::routes::Routes;

/// How many requests are answered at once.
const THREADS: usize = 16;

/// A running server with threads of its own; it ends when it is dropped.
pub struct AdminServer {
    address: SocketAddr,
    stop: mpsc::Sender<()>,
    thread: Option<JoinHandle<()>>,
    expiry: AbortHandle,
}

impl AdminServer {
    /// Starts to answer at the address of `listener`.
    ///
    /// The library binds by itself, so the listener is given up just before; it has shown that the
    /// address can be had.
    ///
    /// # Errors
    ///
    /// When the address cannot be had.
    pub fn start(parts: AdminParts, listener: TcpListener) -> Result<Self, AdminError> {
        let wanted = parts.shared.settings.admin.listen;
        let fail = |reason: String| AdminError {
            address: wanted,
            reason: Arc::from(reason),
        };
        let address = listener
            .local_addr()
            .map_err(|error| fail(error.to_string()))?;
        drop(listener);

        let announcements = Arc::new(Announcements::new(parts.shared.clone()));
        let keeper = announcements.clone();
        let runtime = parts.runtime.clone();
        let routes = Routes::new(parts, announcements);
        let server = Server::new(address, move |request| routes.handle(request))
            .map_err(|error| fail(error.to_string()))?
            .pool_size(THREADS);
        let expiry = runtime
            .spawn(async move { keeper.run().await })
            .abort_handle();
        let (thread, stop) = server.stoppable();
        Ok(Self {
            address,
            stop,
            thread: Some(thread),
            expiry,
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
        self.expiry.abort();
        // The thread may be gone already, and then there is nobody to tell.
        let _ = self.stop.send(());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
