//! Learns of other daemons.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use marigold_dispatch::Site;
use marigold_log::{KeyedRecord, KeyedStore, TableName};
use tokio::time::sleep;

use super::store_watch::{News, StoreWatch};
use crate::events::{EventLog, Severity};
use crate::ingress::Mesh;

/// The pause after a change, so that daemons that join together are read together.
const PAUSE: Duration = Duration::from_millis(300);

/// Keeps the directory like the table of daemons.
pub struct SiteFollower {
    store: Rc<dyn KeyedStore>,
    table: TableName,
    mesh: Rc<Mesh>,
    events: Rc<EventLog>,
    loaded: Rc<Cell<bool>>,
}

impl SiteFollower {
    /// Builds a follower; `loaded` is set once the table was read.
    #[must_use]
    pub fn new(
        store: Rc<dyn KeyedStore>,
        table: TableName,
        mesh: Rc<Mesh>,
        events: Rc<EventLog>,
        loaded: Rc<Cell<bool>>,
    ) -> Self {
        Self {
            store,
            table,
            mesh,
            events,
            loaded,
        }
    }

    /// Follows until the task is dropped.
    pub async fn run(self) {
        let mut watch =
            StoreWatch::new(self.store.clone(), self.table.clone(), self.events.clone());
        loop {
            // A record that a whole reading misses may only have been lost; its daemon writes it again,
            // and one that is gone is found out by calls to it.
            let (News::Whole(batch) | News::Changes(batch)) = watch.news().await;
            for record in &batch.records {
                self.take(record);
            }
            self.loaded.set(true);
            let known = self.mesh.read(marigold_dispatch::Directory::len);
            #[expect(clippy::cast_precision_loss, reason = "a gauge is a float")]
            metrics::gauge!("marigold_daemons_known").set(known as f64);
            sleep(PAUSE).await;
        }
    }

    fn take(&self, record: &KeyedRecord) {
        let Ok(address) = record.key.parse::<SocketAddr>() else {
            return self.foreign(record, "the key is no address");
        };
        let Some(value) = &record.value else {
            self.mesh.update(|directory| directory.remove(address));
            return self.events.emit(
                "daemon_left",
                Severity::Info,
                &[("daemon", address.to_string().into())],
            );
        };
        match serde_json::from_slice::<Site>(value) {
            Ok(site) if site.address == address => {
                self.events.emit(
                    "daemon_joined",
                    Severity::Info,
                    &[
                        ("daemon", address.to_string().into()),
                        ("service", site.service.to_string().into()),
                        ("slots", site.slots.0.into()),
                    ],
                );
                self.mesh.update(|directory| directory.put(site));
            }
            Ok(_) => self.foreign(record, "key and address differ"),
            Err(error) => self.foreign(record, &error.to_string()),
        }
    }

    fn foreign(&self, record: &KeyedRecord, problem: &str) {
        self.events.emit(
            "daemon_record_passed_over",
            Severity::Warn,
            &[
                ("key", record.key.as_ref().into()),
                ("cause", problem.into()),
            ],
        );
    }
}
