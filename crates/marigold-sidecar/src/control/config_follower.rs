//! Keeps the newest configuration in force.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use marigold_log::{KeyedRecord, KeyedStore};
use tokio::time::{sleep, timeout};

use super::protocol::ConfigSource;
use super::store_watch::{News, StoreWatch};
use crate::events::{EventLog, Severity};
use crate::ingress::Ingress;

/// The pause after a change: versions in quick succession are read once and not one by one.
const PAUSE: Duration = Duration::from_millis(200);
/// How long a version that another daemon uses may take to be read, before it is asked for anew.
const CATCH_UP: Duration = Duration::from_secs(1);

/// Reads configurations and puts each newer one in force as a whole.
pub struct ConfigFollower {
    store: Rc<dyn KeyedStore>,
    source: Rc<dyn ConfigSource>,
    ingress: Rc<Ingress>,
    events: Rc<EventLog>,
}

impl ConfigFollower {
    /// Builds a follower that puts configurations in force at `ingress`.
    #[must_use]
    pub fn new(
        store: Rc<dyn KeyedStore>,
        source: Rc<dyn ConfigSource>,
        ingress: Rc<Ingress>,
        events: Rc<EventLog>,
    ) -> Self {
        Self {
            store,
            source,
            ingress,
            events,
        }
    }

    /// Follows until the task is dropped.
    pub async fn run(self) {
        let table = self.source.table();
        let mut watch = StoreWatch::new(self.store.clone(), table, self.events.clone());
        let mut wanted = self.ingress.wanted.subscribe();
        loop {
            let held = self.ingress.table().map(|table| table.version());
            let is_behind = held.is_some_and(|held| *wanted.borrow_and_update() > held);
            let batch = tokio::select! {
                news = watch.news() => match news {
                    News::Whole(batch) | News::Changes(batch) => batch,
                },
                changed = wanted.changed(), if !is_behind => {
                    // The sender lives as long as the ingress, which this task holds.
                    changed.ok();
                    watch.restart();
                    match timeout(CATCH_UP, watch.news()).await {
                        Ok(News::Whole(batch) | News::Changes(batch)) => batch,
                        Err(_) => continue,
                    }
                }
            };
            self.take(&batch.records);
            sleep(PAUSE).await;
        }
    }

    fn take(&self, records: &[KeyedRecord]) {
        let is_config = |record: &&KeyedRecord| &*record.key == self.source.key();
        let newest = records.iter().rev().find(is_config);
        // Without its record the configuration that is in force stays so.
        let Some(value) = newest.and_then(|record| record.value.as_ref()) else {
            return;
        };
        match self.source.decode(value) {
            Ok(table) => {
                let version = table.version();
                let installed = self.ingress.install(Arc::new(table));
                if installed {
                    #[expect(clippy::cast_precision_loss, reason = "a gauge is a float")]
                    metrics::gauge!("marigold_config_version").set(version.0 as f64);
                    self.events.emit(
                        "config_in_force",
                        Severity::Info,
                        &[("version", version.0.into()), ("bytes", value.len().into())],
                    );
                }
            }
            Err(error) => self.events.emit(
                "config_refused",
                Severity::Warn,
                &[("cause", error.to_string().into())],
            ),
        }
    }
}
