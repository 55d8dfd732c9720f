//! Tells other daemons of this one.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use marigold_dispatch::{Directory, LinkRate, Site};
use marigold_log::{KeyedStore, TableName};
use marigold_types::DataCentre;
use tokio::time::sleep;

use crate::events::{EventLog, Severity};
use crate::executor::LocalExecutor;
use crate::ingress::Mesh;

/// How often this daemon's record is compared with what it should be.
const TICK: Duration = Duration::from_millis(250);
/// The wait after a failed write.
const BACKOFF: Duration = Duration::from_millis(500);

/// Where this daemon is found.
#[derive(Debug, Clone)]
pub struct DaemonLocation {
    /// Where it takes calls of other daemons.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// How much its link carries.
    pub link: LinkRate,
}

/// Keeps this daemon's record in the table of daemons.
pub struct SitePublisher {
    store: Rc<dyn KeyedStore>,
    table: TableName,
    location: DaemonLocation,
    executor: Rc<LocalExecutor>,
    mesh: Rc<Mesh>,
    events: Rc<EventLog>,
}

impl SitePublisher {
    /// Builds the publisher of the daemon at `location`.
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
        }
    }

    /// Publishes until the task is dropped.
    ///
    /// Only what changes is written: whether the backend server takes work is told to those who call
    /// it, and a daemon that ends for a while keeps its record.
    pub async fn run(self: Rc<Self>) {
        loop {
            sleep(TICK).await;
            let Some((service, slots)) = self.executor.serving() else {
                continue;
            };
            let site = Site {
                address: self.location.address,
                data_centre: self.location.data_centre.clone(),
                service,
                slots,
                link: self.location.link,
            };
            let stands =
                |directory: &Directory| directory.get(self.location.address) == Some(&site);
            if self.mesh.with_directory(stands) {
                continue;
            }
            let value = match serde_json::to_vec(&site) {
                Ok(value) => Bytes::from(value),
                Err(error) => {
                    self.failed(&error.to_string());
                    sleep(BACKOFF).await;
                    continue;
                }
            };
            // Known to this daemon at once, whatever the store does.
            self.mesh
                .update_directory(|directory| directory.put(site.clone()));
            while let Err(error) = self.put(Some(value.clone())).await {
                self.failed(&error.to_string());
                sleep(BACKOFF).await;
            }
        }
    }

    /// Takes the record away, since the backend server has left for good.
    pub async fn withdraw(&self) {
        if let Err(error) = self.put(None).await {
            self.failed(&error.to_string());
        }
    }

    async fn put(&self, value: Option<Bytes>) -> Result<(), marigold_log::LogError> {
        let key = self.location.address.to_string();
        self.store.put(&self.table, &key, value).await
    }

    fn failed(&self, cause: &str) {
        self.events.emit(
            "daemon_record_not_written",
            Severity::Warn,
            &[("cause", cause.into())],
        );
    }
}
