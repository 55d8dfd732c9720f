//! A running backend server's stand-in.

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

/// Why a stand-in ended by itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BackendExit {
    /// A request crashed it, and it does not start again.
    Crashed,
    /// It could not listen again after a crash.
    Failed(StandinError),
}

/// A stand-in that runs on the current runtime; it ends when dropped.
pub struct BackendStandin {
    address: SocketAddr,
    state: Arc<BackendState>,
    task: JoinHandle<BackendExit>,
    announcer: Option<Announcer>,
}

impl BackendStandin {
    /// Starts listening.
    ///
    /// # Errors
    ///
    /// When the address cannot be listened on, as when the port is in use.
    pub async fn start(plan: BackendPlan) -> Result<Self, StandinError> {
        let listener = listen(plan.listen).await?;
        let address = listener
            .local_addr()
            .map_err(|error| StandinError::new("listen", &plan.listen, &error))?;
        let state = Arc::new(BackendState::new(plan));
        let task = tokio::spawn(live(state.clone(), listener, address));
        Ok(Self {
            address,
            state,
            task,
            announcer: None,
        })
    }

    /// Returns where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns its state, for counts and faults.
    #[must_use]
    pub fn state(&self) -> &Arc<BackendState> {
        &self.state
    }

    /// Starts announcing itself to the daemon whose operators' side is at `admin`.
    pub fn announce_to(&mut self, admin: SocketAddr) {
        self.announcer = Some(Announcer::start(admin, self.address, self.state.plan()));
    }

    /// Takes its announcement back and refuses new work.
    ///
    /// # Errors
    ///
    /// When the daemon does not take it; the announcement then lapses by itself.
    pub async fn drain(&mut self) -> Result<(), StandinError> {
        self.state.control(&BackendControl {
            draining: Some(true),
            ..BackendControl::default()
        });
        self.withdraw().await
    }

    /// Takes its announcement back, but goes on with whatever work comes.
    ///
    /// # Errors
    ///
    /// When the daemon does not take it; the announcement then lapses by itself.
    pub async fn withdraw(&mut self) -> Result<(), StandinError> {
        match self.announcer.take() {
            Some(announcer) => announcer.leave().await,
            None => Ok(()),
        }
    }

    /// Stops announcing itself without a word.
    pub fn stop_announcing(&mut self) {
        self.announcer = None;
    }

    /// Waits until it ends by itself.
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

/// Serves, and after each crash starts again if the plan says so.
async fn live(state: Arc<BackendState>, first: TcpListener, address: SocketAddr) -> BackendExit {
    let mut listener = first;
    loop {
        serve(&state, listener).await;
        let Some(pause) = state.plan().restart else {
            return BackendExit::Crashed;
        };
        tokio::time::sleep(pause.duration()).await;
        listener = match listen(address).await {
            Ok(listener) => listener,
            Err(error) => return BackendExit::Failed(error),
        };
        state.restart();
    }
}

/// Serves until a crash; every connection is cut then.
async fn serve(state: &Arc<BackendState>, listener: TcpListener) {
    let mut crashes = state.crashes();
    let permits = Arc::new(Semaphore::new(state.plan().connections as usize));
    let mut open = JoinSet::new();
    loop {
        tokio::select! {
            _ = crashes.changed() => return,
            Some(_) = open.join_next() => {}
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else {
                    // The process is out of file descriptors; the next attempt may find some.
                    tokio::time::sleep(std::time::Duration::from_millis(10)).await;
                    continue;
                };
                // A connection beyond the limit is closed at once.
                if let Ok(permit) = permits.clone().try_acquire_owned() {
                    let state = state.clone();
                    open.spawn(async move {
                        converse(state, stream).await;
                        drop(permit);
                    });
                }
            }
        }
    }
}

async fn converse(state: Arc<BackendState>, stream: TcpStream) {
    let number = state.open_connection();
    let delay = state.plan().connect_delay.duration();
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| handle(state.clone(), number, request));
    // A caller that leaves ends the connection, which cancels its request.
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service)
        .await;
}
