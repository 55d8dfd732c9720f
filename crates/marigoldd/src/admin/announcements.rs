//! Announcements of the backend server beside the daemon.

use std::sync::{Arc, Mutex, PoisonError};

use marigold_api::AnnounceAnswer;
use marigold_types::{Interval, SlotCount};
use tokio::time::{Instant, sleep_until};

use crate::{BackendServer, Shared};

/// The number of heartbeats that a backend server is told to send per `announce_ttl`.
const HEARTBEATS_PER_TTL: u64 = 3;

/// Holds the announcement of the backend server until it is withdrawn or its heartbeats stop.
pub struct Announcements {
    shared: Arc<Shared>,
    last_heartbeat: Mutex<Option<Instant>>,
}

impl Announcements {
    /// Creates the state without a backend server.
    #[must_use]
    pub fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            last_heartbeat: Mutex::new(None),
        }
    }

    /// Handles an announcement, or a heartbeat that repeats it, received at `now`.
    pub fn announce(&self, server: BackendServer, now: Instant) -> AnnounceAnswer {
        let view = self.shared.view.load();
        let declared = view.config.service(&server.service).is_some();
        let ttl = self.shared.settings.admin.announce_ttl.duration();
        let millis = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
        let reason = self.rejection_reason(&server);
        let accepted = reason.is_none();
        if accepted {
            *self.lock() = Some(now);
            self.set(Some(server));
        }
        AnnounceAnswer {
            accepted,
            reason: reason.map(Arc::from),
            declared,
            heartbeat: Interval::from_millis(millis / HEARTBEATS_PER_TTL),
        }
    }

    /// Withdraws the announcement because the backend server is shutting down.
    pub fn withdraw(&self) {
        *self.lock() = None;
        self.set(None);
    }

    /// Drops the announcement if its heartbeats have stopped; returns when to check again.
    pub fn expire(&self, now: Instant) -> Instant {
        let ttl = self.shared.settings.admin.announce_ttl.duration();
        let mut last_heartbeat = self.lock();
        match *last_heartbeat {
            Some(at) if at + ttl > now => at + ttl,
            Some(_) => {
                *last_heartbeat = None;
                self.set(None);
                now + ttl
            }
            None => now + ttl,
        }
    }

    /// Drops announcements whose heartbeats stop; never returns.
    pub async fn run(&self) {
        loop {
            let next = self.expire(Instant::now());
            sleep_until(next).await;
        }
    }

    fn rejection_reason(&self, server: &BackendServer) -> Option<&'static str> {
        if *self.shared.draining.borrow() {
            return Some("this daemon is draining");
        }
        if server.slots == SlotCount(0) || server.connections == 0 {
            return Some("slots and connections must be at least 1");
        }
        if server.address.port() == 0 {
            return Some("the address must have a port other than 0");
        }
        None
    }

    /// Stores the announcement only if it differs, so that heartbeats do not notify subscribers.
    fn set(&self, server: Option<BackendServer>) {
        self.shared.server.send_if_modified(|current| {
            let changed = *current != server;
            if changed {
                match (&current, &server) {
                    (_, Some(server)) => spdlog::info!(
                        "backend server of {} announced itself at {}",
                        server.service,
                        server.address
                    ),
                    (Some(removed), None) => spdlog::warn!(
                        "announcement of the backend server of {} at {} was withdrawn or expired",
                        removed.service,
                        removed.address
                    ),
                    (None, None) => {}
                }
                *current = server;
            }
            changed
        });
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<Instant>> {
        self.last_heartbeat
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
