//! Backend servers that announce themselves to the daemon beside them.

use std::sync::{Arc, Mutex, PoisonError};

use marigold_api::AnnounceAnswer;
use marigold_types::{Interval, SlotCount};
use tokio::time::{Instant, sleep_until};

use crate::{BackendServer, Shared};

/// How many heartbeats fit into the time that an announcement holds.
const HEARTBEATS: u64 = 3;

/// Keeps the announcement of the backend server for as long as its heartbeats come.
pub struct Announcements {
    shared: Arc<Shared>,
    last: Mutex<Option<Instant>>,
}

impl Announcements {
    /// Starts with no backend server.
    #[must_use]
    pub fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            last: Mutex::new(None),
        }
    }

    /// Takes in an announcement or its repeat at `now`.
    pub fn announce(&self, server: BackendServer, now: Instant) -> AnnounceAnswer {
        let view = self.shared.view.load();
        let declared = view.config.service(&server.service).is_some();
        let ttl = self.shared.settings.admin.announce_ttl.duration();
        let millis = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
        let reason = self.find_objection(&server);
        let accepted = reason.is_none();
        if accepted {
            *self.lock() = Some(now);
            self.set(Some(server));
        }
        AnnounceAnswer {
            accepted,
            reason: reason.map(Arc::from),
            declared,
            heartbeat: Interval::from_millis(millis / HEARTBEATS),
        }
    }

    /// Takes the announcement back: the backend server is leaving.
    pub fn withdraw(&self) {
        *self.lock() = None;
        self.set(None);
    }

    /// Drops the announcement if its heartbeats have stopped; returns when to look again.
    pub fn expire(&self, now: Instant) -> Instant {
        let ttl = self.shared.settings.admin.announce_ttl.duration();
        let mut last = self.lock();
        match *last {
            Some(at) if at + ttl > now => at + ttl,
            Some(_) => {
                *last = None;
                self.set(None);
                now + ttl
            }
            None => now + ttl,
        }
    }

    /// Drops announcements whose heartbeats stop, until the daemon ends.
    pub async fn run(&self) {
        loop {
            let next = self.expire(Instant::now());
            sleep_until(next).await;
        }
    }

    fn find_objection(&self, server: &BackendServer) -> Option<&'static str> {
        if *self.shared.draining.borrow() {
            return Some("this daemon is leaving");
        }
        if server.slots == SlotCount(0) || server.connections == 0 {
            return Some("slots and connections have to be at least 1");
        }
        if server.address.port() == 0 {
            return Some("the address needs a port");
        }
        None
    }

    /// Writes the announcement where it differs, so that a heartbeat wakes nobody.
    fn set(&self, server: Option<BackendServer>) {
        self.shared.server.send_if_modified(|held| {
            let changed = *held != server;
            if changed {
                match (&held, &server) {
                    (_, Some(server)) => spdlog::info!(
                        "backend server of {} announced itself at {}",
                        server.service,
                        server.address
                    ),
                    (Some(gone), None) => spdlog::warn!(
                        "backend server of {} at {} is gone",
                        gone.service,
                        gone.address
                    ),
                    (None, None) => {}
                }
                *held = server;
            }
            changed
        });
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<Instant>> {
        self.last.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
