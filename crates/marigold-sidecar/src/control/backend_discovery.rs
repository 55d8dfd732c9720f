//! Finds the backend server again after a start of the daemon.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use marigold_dispatch::{Announcement, ServingState};
use marigold_types::ServiceName;
use tokio::time::sleep;

use crate::HeaderNames;
use crate::events::{EventLog, Severity};
use crate::executor::{LocalExecutor, probe};
use crate::ingress::Ingress;

/// How often it is looked whether enough is known to ask.
const TICK: Duration = Duration::from_millis(20);
/// The wait after a question that brought nothing.
const PAUSE: Duration = Duration::from_millis(400);
/// Questions that are asked at most; an announcement comes within two seconds.
const MAX_QUESTIONS: u32 = 3;

/// Asks the backend server who it is, so that work need not wait for its next announcement.
///
/// Only a daemon whose record is known asks: it has served the backend server before. One that is leaving
/// says so in its answer, whatever an earlier life of the daemon was told.
pub struct BackendDiscovery {
    /// Where the backend server takes requests.
    pub backend: SocketAddr,
    /// Where this daemon takes calls.
    pub own: SocketAddr,
    /// The service on whose instance it runs.
    pub service: ServiceName,
    /// The header fields that have a meaning.
    pub names: Arc<HeaderNames>,
    /// Where the configuration is in force.
    pub ingress: Rc<Ingress>,
    /// The way to the backend server.
    pub executor: Rc<LocalExecutor>,
    /// The log.
    pub events: Rc<EventLog>,
}

impl BackendDiscovery {
    /// Asks until an announcement or an answer has come.
    pub async fn run(self) {
        let mut questions = 0;
        while !self.executor.knows_backend() && questions < MAX_QUESTIONS {
            sleep(TICK).await;
            let Some((path, announcement)) = self.question() else {
                continue;
            };
            questions += 1;
            match probe(self.backend, &path, &self.names).await {
                Ok(Some(identity)) if !self.executor.knows_backend() => {
                    self.events.emit(
                        "backend_found",
                        Severity::Info,
                        &[("identity", identity.as_ref().into())],
                    );
                    self.executor.announced(&Announcement {
                        identity,
                        ..announcement
                    });
                }
                Ok(_) => sleep(PAUSE).await,
                Err(error) => {
                    let cause = error.to_string().into();
                    let event = "backend_not_found";
                    self.events.emit(event, Severity::Info, &[("cause", cause)]);
                    sleep(PAUSE).await;
                }
            }
        }
    }

    /// Returns where to ask, and what the answer makes of the daemon's record; none until both are known.
    fn question(&self) -> Option<(Arc<str>, Announcement)> {
        let table = self.ingress.table()?;
        let path = table.service(&self.service)?.health_path.clone();
        let site = self
            .ingress
            .mesh
            .with_directory(|directory| directory.get(self.own).cloned())?;
        if site.service != self.service {
            return None;
        }
        let announcement = Announcement {
            identity: Arc::from(""),
            started_ms: None,
            sequence: 0,
            service: site.service,
            address: self.backend,
            slots: site.slots,
            state: ServingState::Ready,
            warmup: Duration::ZERO,
        };
        Some((path, announcement))
    }
}
