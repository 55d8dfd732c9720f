//! The whole request side of one daemon.

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

/// How often the limits and objectives of the published view are taken in.
const REFRESH_INTERVAL: Duration = Duration::from_millis(250);
/// How long a shutdown waits for the callers' connections to send what they hold.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// Joins ingress, executor and witness of one daemon.
pub struct RequestSide {
    shared: Arc<Shared>,
    ingress: Arc<Ingress>,
    executor: Arc<LocalExecutor>,
    in_flight: Arc<InFlight>,
}

impl RequestSide {
    /// Builds the request side and lets it serve the streams of other daemons.
    ///
    /// The recorder of metrics must be installed before.
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

    /// Serves callers on `listener` and does the upkeep, until the daemon ends.
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

    /// Returns this daemon's part of the report on service-level burn.
    #[must_use]
    pub fn burn(&self) -> BurnReport {
        self.ingress.state.burn_report()
    }

    /// Returns how many requests are in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.count()
    }

    /// Takes a signal to end: the daemon says that it is leaving; a second one ends at once.
    pub fn signal(&self) {
        self.in_flight.signal();
        self.shared.draining.send_replace(true);
    }

    /// Breaks the callers' connections, as a process that dies does; for tests and stand-ins.
    pub fn abort(&self) {
        self.ingress.aborted.cancel();
    }

    /// Returns whether a shutdown has begun.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        *self.shared.draining.borrow()
    }

    /// Leads a shutdown after the first signal: what is in flight ends, nothing new begins.
    ///
    /// It returns within the setting `drain` and one second, counted from the first signal.
    pub async fn drain(&self) -> ExitCode {
        let code = self.in_flight.finish().await;
        if code == ExitCode::Clean {
            // The last answers may still be on their way into the callers' sockets.
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
