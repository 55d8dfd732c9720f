//! Tells the control side of the backend server beside the daemon.

use std::sync::Arc;

use marigold_control::Event;
use marigold_types::{ServiceName, SlotCount};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::{BackendServer, Shared};

/// What the control side was last told.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Told {
    service: ServiceName,
    slots: SlotCount,
    healthy: bool,
}

/// Turns announcements, health probes and a shutdown into events, one for each change.
///
/// An announcement whose heartbeats stop is dropped by [`Announcements`](crate::admin::Announcements),
/// the only one that sees them.
pub struct Announcer {
    shared: Arc<Shared>,
    server: watch::Receiver<Option<BackendServer>>,
    healthy: watch::Receiver<bool>,
    draining: watch::Receiver<bool>,
    told: Option<Told>,
}

impl Announcer {
    /// Builds the announcer of one daemon.
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
            told: None,
        }
    }

    /// Runs until `stop` is cancelled.
    pub async fn run(mut self, stop: CancellationToken) {
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                Ok(()) = self.server.changed() => {}
                Ok(()) = self.healthy.changed() => {}
                Ok(()) = self.draining.changed() => self.leave().await,
            }
            self.tell().await;
        }
    }

    async fn leave(&mut self) {
        if *self.draining.borrow_and_update() {
            spdlog::info!("{} is leaving", self.shared.local);
            let _ = self.shared.events.send(Event::Draining).await;
        }
    }

    async fn tell(&mut self) {
        let server = self.server.borrow_and_update().clone();
        let healthy = *self.healthy.borrow_and_update();
        let next = match (server, &self.told) {
            (Some(server), _) => {
                let BackendServer { service, slots, .. } = server;
                Told {
                    service,
                    slots,
                    healthy,
                }
            }
            (None, Some(told)) => Told {
                healthy: false,
                ..told.clone()
            },
            (None, None) => return,
        };
        if self.told.as_ref() == Some(&next) {
            return;
        }
        spdlog::info!(
            "backend server of {} healthy={}",
            next.service,
            next.healthy
        );
        let Told {
            service,
            slots,
            healthy,
        } = next.clone();
        self.told = Some(next);
        let event = Event::Announced {
            service,
            slots,
            healthy,
        };
        // The control loop outlives the announcer but for a stop, when nobody listens any more.
        let _ = self.shared.events.send(event).await;
    }
}
