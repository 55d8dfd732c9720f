//! The request path of one daemon: ingress, executor and witness.

use std::sync::Arc;
use std::time::Duration;

use marigold_request::burn::BurnReport;
use marigold_request::drain::ExitCode;
use tokio::net::TcpListener;
use tokio::time::{MissedTickBehavior, interval, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::Shared;
use crate::caller::{self, CallMetrics, Ingress, IngressState, KeyHandler};
use crate::executor::{self, InFlight, LocalExecutor, StreamExecutor, Witnesses};
use crate::peer::QuicPeers;

/// How often the limits and objectives are reloaded from the published view.
const REFRESH_INTERVAL: Duration = Duration::from_millis(250);
/// How long a shutdown waits for the callers' connections to send buffered data.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// Owns the ingress, the executor and the witness of one daemon.
pub struct RequestSide {
    shared: Arc<Shared>,
    ingress: Arc<Ingress>,
    executor: Arc<LocalExecutor>,
    in_flight: Arc<InFlight>,
}

impl RequestSide {
    /// Creates the request side and registers it with `peers` to serve streams of other daemons.
    ///
    /// The metrics recorder must be installed first.
    #[must_use]
    pub fn new(shared: Arc<Shared>, peers: Arc<QuicPeers>) -> Arc<Self> {
        let in_flight = InFlight::new(shared.settings.request.drain);
        let witnesses = Arc::new(Witnesses::new(shared.clone(), peers.clone()));
        let executor = LocalExecutor::new(
            shared.clone(),
            peers.clone(),
            witnesses.clone(),
            in_flight.clone(),
        );
        let state = Arc::new(IngressState::new(&shared));
        let streams = StreamExecutor {
            executor: executor.clone(),
            witnesses: witnesses.clone(),
            ingress_state: state.clone(),
            in_flight: in_flight.clone(),
        };
        peers.serve(Arc::new(streams));
        let ingress = Arc::new(Ingress {
            state,
            metrics: Arc::new(CallMetrics::new(shared.local.address)),
            shared: shared.clone(),
            executor: executor.clone(),
            in_flight: in_flight.clone(),
            keys: KeyHandler,
            connections: TaskTracker::new(),
            aborted: CancellationToken::new(),
            witnesses,
            peers,
        });
        Arc::new(Self {
            shared,
            ingress,
            executor,
            in_flight,
        })
    }

    /// Serves callers on `listener` and runs the background tasks until the daemon exits.
    pub async fn run(self: Arc<Self>, listener: TcpListener) {
        tokio::join!(
            caller::serve(listener, self.ingress.clone()),
            executor::run_maintenance(self.executor.clone()),
            self.refresh(),
            caller::share_limits(
                self.shared.local.address,
                self.ingress.state.clone(),
                self.ingress.peers.clone(),
            ),
        );
    }

    /// Returns this daemon's part of the report on error budget burn.
    #[must_use]
    pub fn burn(&self) -> BurnReport {
        self.ingress.state.burn_report()
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.count()
    }

    /// Handles a shutdown signal: the first starts a drain, a second exits at once.
    pub fn signal(&self) {
        self.in_flight.signal();
        self.shared.draining.send_replace(true);
    }

    /// Drops the callers' connections as a crashed process would; for tests and stand-ins.
    pub fn abort(&self) {
        self.ingress.aborted.cancel();
    }

    /// Returns whether the daemon is draining.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        *self.shared.draining.borrow()
    }

    /// Drains after the first signal: requests in flight finish, new ones are refused.
    ///
    /// Returns at most one second after the setting `drain` has elapsed since the first signal.
    pub async fn drain(&self) -> ExitCode {
        let code = self.in_flight.finish().await;
        if code == ExitCode::Clean {
            // The last responses may not have been written to the callers' sockets yet.
            let connections = &self.ingress.connections;
            connections.close();
            let _ = timeout(FLUSH_TIMEOUT, connections.wait()).await;
        }
        code
    }

    async fn refresh(&self) {
        let mut ticks = interval(REFRESH_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.ingress.state.refresh(&self.shared.view.load());
        }
    }
}
