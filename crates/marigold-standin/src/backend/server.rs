//! HTTP server of a stand-in for a backend server.

use std::net::SocketAddr;
use std::sync::Arc;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::{JoinHandle, JoinSet};

use super::announcer::Announcer;
use super::handler::handle;
use super::{BackendControl, BackendPlan, BackendState};
use crate::StandinError;

/// The reason for which a stand-in stopped by itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BackendExit {
    /// A request crashed it, and no restart is configured.
    Crashed,
    /// The address could not be bound again after a crash.
    Failed(StandinError),
}

/// A stand-in that runs on the current Tokio runtime. Dropping it stops the server.
pub struct BackendStandin {
    address: SocketAddr,
    state: Arc<BackendState>,
    task: JoinHandle<BackendExit>,
    announcer: Option<Announcer>,
}

impl BackendStandin {
    /// Binds the address and starts serving.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound, for example because the port is in use.
    pub async fn start(plan: BackendPlan) -> Result<Self, StandinError> {
        let listener = listen(plan.listen).await?;
        let address = listener
            .local_addr()
            .map_err(|error| StandinError::new("listen", &plan.listen, &error))?;
        let state = Arc::new(BackendState::new(plan));
        let task = tokio::spawn(serve_with_restarts(state.clone(), listener, address));
        Ok(Self {
            address,
            state,
            task,
            announcer: None,
        })
    }

    /// Returns the address that the stand-in listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the shared state, which has the counters and the injected faults.
    #[must_use]
    pub fn state(&self) -> &Arc<BackendState> {
        &self.state
    }

    /// Starts announcing the stand-in to the daemon whose operators' address is `admin`.
    pub fn announce_to(&mut self, admin: SocketAddr) {
        self.announcer = Some(Announcer::start(admin, self.address, self.state.plan()));
    }

    /// Refuses new requests and withdraws the announcement.
    ///
    /// # Errors
    ///
    /// If the daemon cannot be told. It then drops the announcement when it expires.
    pub async fn drain(&mut self) -> Result<(), StandinError> {
        self.state.control(&BackendControl {
            draining: Some(true),
            ..BackendControl::default()
        });
        self.withdraw().await
    }

    /// Withdraws the announcement but keeps serving requests.
    ///
    /// # Errors
    ///
    /// If the daemon cannot be told. It then drops the announcement when it expires.
    pub async fn withdraw(&mut self) -> Result<(), StandinError> {
        match self.announcer.take() {
            Some(announcer) => announcer.withdraw().await,
            None => Ok(()),
        }
    }

    /// Stops announcing without telling the daemon, where the announcement expires.
    pub fn stop_announcing(&mut self) {
        self.announcer = None;
    }

    /// Waits until the stand-in stops by itself.
    pub async fn ended(&mut self) -> BackendExit {
        (&mut self.task).await.unwrap_or(BackendExit::Crashed)
    }
}

impl Drop for BackendStandin {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, StandinError> {
    TcpListener::bind(address)
        .await
        .map_err(|error| StandinError::new("listen", &address, &error))
}

/// Serves, and restarts after each crash if the plan has a restart delay.
async fn serve_with_restarts(
    state: Arc<BackendState>,
    first: TcpListener,
    address: SocketAddr,
) -> BackendExit {
    let mut listener = first;
    loop {
        serve(&state, listener).await;
        let Some(delay) = state.plan().restart else {
            return BackendExit::Crashed;
        };
        tokio::time::sleep(delay.duration()).await;
        listener = match listen(address).await {
            Ok(listener) => listener,
            Err(error) => return BackendExit::Failed(error),
        };
        state.restart();
    }
}

/// Serves until a crash, which aborts every connection.
async fn serve(state: &Arc<BackendState>, listener: TcpListener) {
    let mut crashes = state.subscribe_crashes();
    let permits = Arc::new(Semaphore::new(state.plan().connections as usize));
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            _ = crashes.changed() => return,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else {
                    // The process may be out of file descriptors; retry after a short delay.
                    tokio::time::sleep(std::time::Duration::from_millis(10)).await;
                    continue;
                };
                // A connection beyond the limit is closed at once.
                if let Ok(permit) = permits.clone().try_acquire_owned() {
                    let state = state.clone();
                    connections.spawn(async move {
                        serve_connection(state, stream).await;
                        drop(permit);
                    });
                }
            }
        }
    }
}

async fn serve_connection(state: Arc<BackendState>, stream: TcpStream) {
    let number = state.open_connection();
    let delay = state.plan().connect_delay.duration();
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| handle(state.clone(), number, request));
    // If the caller closes the connection, its running request is cancelled.
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service)
        .await;
}
