//! Publishes this daemon's record to the store.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use marigold_dispatch::{Departure, Directory, LinkRate, ServerVersion, Site};
use marigold_log::{KeyedStore, TableName};
use marigold_types::{DataCentre, ServiceName};
use tokio::sync::{Notify, watch};
use tokio::time::{sleep, timeout};

use crate::events::{EventLog, Severity};
use crate::executor::LocalExecutor;
use crate::ingress::Mesh;

/// Interval at which the published record is compared with the current state.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How long the acknowledgement of a departure waits for the store. It has to arrive within a second.
const DEPARTURE_TIMEOUT: Duration = Duration::from_millis(700);
/// Delay after a failed write.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// The fixed part of this daemon's record.
#[derive(Debug, Clone)]
pub struct DaemonLocation {
    /// Address at which it accepts calls from other daemons.
    pub address: SocketAddr,
    /// Data centre of the instance.
    pub data_centre: DataCentre,
    /// Capacity of its network link.
    pub link: LinkRate,
}

/// Keeps this daemon's record in the store up to date.
pub struct SitePublisher {
    store: Rc<dyn KeyedStore>,
    table: TableName,
    location: DaemonLocation,
    executor: Rc<LocalExecutor>,
    mesh: Rc<Mesh>,
    events: Rc<EventLog>,
    /// Wakes the task that publishes.
    changed: Notify,
    /// The departure in the latest record that the store has confirmed.
    recorded: watch::Sender<Option<Departure>>,
}

impl SitePublisher {
    /// Creates the publisher of the daemon at `location`.
    #[must_use]
    pub fn new(
        store: Rc<dyn KeyedStore>,
        table: TableName,
        location: DaemonLocation,
        executor: Rc<LocalExecutor>,
        mesh: Rc<Mesh>,
        events: Rc<EventLog>,
    ) -> Self {
        Self {
            store,
            table,
            location,
            executor,
            mesh,
            events,
            changed: Notify::new(),
            recorded: watch::Sender::new(None),
        }
    }

    /// Waits until the store has the departure of the backend server, so that a daemon that starts again knows of it, for a
    /// limited time: the store may be away.
    pub async fn record_departure(&self) {
        let mut recorded = self.recorded.subscribe();
        self.changed.notify_one();
        let is_recorded = |departure: &Option<Departure>| {
            departure.is_some() && *departure == self.executor.leaving()
        };
        let wait = timeout(DEPARTURE_TIMEOUT, recorded.wait_for(is_recorded));
        if self.record().is_some() && wait.await.is_err() {
            self.log_failure("the departure was acknowledged before the store had it");
        }
    }

    /// Publishes the record on each change, until the task is dropped.
    ///
    /// The record stays while the backend server is not accepting work, of which callers learn through
    /// their links, and across restarts of the daemon.
    pub async fn run(self: Rc<Self>) {
        loop {
            // The timeout is the usual case: most changes are found by comparing.
            timeout(CHECK_INTERVAL, self.changed.notified()).await.ok();
            let Some(site) = self.record() else {
                continue;
            };
            let is_published =
                |directory: &Directory| directory.get(self.location.address) == Some(&site);
            if self.mesh.with_directory(is_published) {
                self.recorded.send_replace(site.leaving);
                continue;
            }
            let value = match serde_json::to_vec(&site) {
                Ok(value) => Bytes::from(value),
                Err(error) => {
                    self.log_failure(&error.to_string());
                    sleep(RETRY_DELAY).await;
                    continue;
                }
            };
            // Takes effect locally at once, even if the store is unavailable.
            self.mesh
                .update_directory(|directory| directory.put(site.clone()));
            while let Err(error) = self.put(Some(value.clone())).await {
                self.log_failure(&error.to_string());
                sleep(RETRY_DELAY).await;
            }
            self.recorded.send_replace(site.leaving);
        }
    }

    /// Returns the record that the store should have, or `None` while there is nothing to say.
    fn record(&self) -> Option<Site> {
        if let Some(leaving) = self.executor.leaving() {
            let known = (self.mesh)
                .with_directory(|directory| directory.get(self.location.address).cloned())?;
            return Some(Site {
                leaving: Some(leaving),
                ..known
            });
        }
        let (service, slots) = self.executor.serving()?;
        Some(Site {
            address: self.location.address,
            data_centre: self.location.data_centre.clone(),
            version: self.version(&service),
            service,
            slots,
            link: self.location.link,
            leaving: None,
        })
    }

    /// Returns the version of the backend server. That of the record stands until a restarted daemon hears it, so that a
    /// version that is kept out of the traffic does not appear as an unknown one.
    fn version(&self, service: &ServiceName) -> Option<ServerVersion> {
        let recorded = |directory: &Directory| {
            let site = directory.get(self.location.address)?;
            site.version.clone().filter(|_| site.service == *service)
        };
        let known = self.executor.version();
        known.or_else(|| self.mesh.with_directory(recorded))
    }

    /// Deletes the record of a backend server that has left and ended; returns whether the store confirmed it.
    pub async fn withdraw(&self) -> bool {
        let result = self.put(None).await;
        if let Err(error) = &result {
            self.log_failure(&error.to_string());
        }
        result.is_ok()
    }

    async fn put(&self, value: Option<Bytes>) -> Result<(), marigold_log::LogError> {
        let key = self.location.address.to_string();
        self.store.put(&self.table, &key, value).await
    }

    fn log_failure(&self, cause: &str) {
        self.events.emit(
            "daemon_record_not_written",
            Severity::Warn,
            &[("cause", cause.into())],
        );
    }
}
