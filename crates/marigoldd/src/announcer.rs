//! Reports the backend server beside the daemon to the control plane.

use std::sync::Arc;

use marigold_control::Event;
use marigold_types::{ServiceName, SlotCount};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::{BackendServer, Shared};

/// The state that was last reported to the control plane.
#[derive(Debug, Clone, PartialEq, Eq)]
struct ReportedState {
    service: ServiceName,
    slots: SlotCount,
    healthy: bool,
}

/// Sends an event to the control plane for each change of the announcement, of the health of the
/// backend server, and when a drain starts.
///
/// [`Announcements`](crate::admin::Announcements) receives the heartbeats and drops an announcement
/// when they stop.
pub struct Announcer {
    shared: Arc<Shared>,
    server: watch::Receiver<Option<BackendServer>>,
    healthy: watch::Receiver<bool>,
    draining: watch::Receiver<bool>,
    reported: Option<ReportedState>,
}

impl Announcer {
    /// Creates the announcer of one daemon.
    #[must_use]
    pub fn new(shared: Arc<Shared>) -> Self {
        let server = shared.server.subscribe();
        let healthy = shared.healthy.subscribe();
        let draining = shared.draining.subscribe();
        Self {
            shared,
            server,
            healthy,
            draining,
            reported: None,
        }
    }

    /// Runs until `stop` is cancelled.
    pub async fn run(mut self, stop: CancellationToken) {
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                Ok(()) = self.server.changed() => {}
                Ok(()) = self.healthy.changed() => {}
                Ok(()) = self.draining.changed() => self.report_drain().await,
            }
            self.report_server().await;
        }
    }

    async fn report_drain(&mut self) {
        if *self.draining.borrow_and_update() {
            spdlog::info!("{} is draining", self.shared.local);
            let _ = self.shared.events.send(Event::Draining).await;
        }
    }

    async fn report_server(&mut self) {
        let server = self.server.borrow_and_update().clone();
        let healthy = *self.healthy.borrow_and_update();
        let next = match (server, &self.reported) {
            (Some(server), _) => {
                let BackendServer { service, slots, .. } = server;
                ReportedState {
                    service,
                    slots,
                    healthy,
                }
            }
            (None, Some(reported)) => ReportedState {
                healthy: false,
                ..reported.clone()
            },
            (None, None) => return,
        };
        if self.reported.as_ref() == Some(&next) {
            return;
        }
        spdlog::info!(
            "backend server of {} healthy={}",
            next.service,
            next.healthy
        );
        let ReportedState {
            service,
            slots,
            healthy,
        } = next.clone();
        self.reported = Some(next);
        let event = Event::Announced {
            service,
            slots,
            healthy,
        };
        // Fails only during shutdown, when the control loop may have ended already.
        let _ = self.shared.events.send(event).await;
    }
}
