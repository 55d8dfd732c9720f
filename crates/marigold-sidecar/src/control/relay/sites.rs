//! How a relay keeps the directory of daemons up to date.

use std::rc::Rc;
use std::time::Duration;

use marigold_dispatch::UpdateSource;
use marigold_log::LogError;
use tokio::time::{Instant, sleep};

use super::{LOOK_PAUSE, PAUSE, Relay, SITES, SITES_AGE, SITES_WAIT, TICK};
use crate::control::store_health::StoreHealth;
use crate::events::Severity;
use crate::link::{SiteRecord, StoreUpdate};

impl Relay {
    pub(super) async fn bring_sites(self: Rc<Self>) {
        let mut health = StoreHealth::new(SITES, self.parts.events.clone());
        loop {
            let now = Instant::now();
            let passed = |since: Instant| now.saturating_duration_since(since);
            let is_old = self
                .sites_fresh
                .get()
                .is_none_or(|at| passed(at) >= SITES_AGE);
            if self.source() == UpdateSource::Store {
                let result = self.read_sites(SITES_WAIT).await;
                if self.settle(result, &mut health).await {
                    sleep(PAUSE).await;
                }
            } else if is_old {
                let result = self.read_sites(Duration::ZERO).await;
                self.settle(result, &mut health).await;
                sleep(LOOK_PAUSE).await;
            } else {
                sleep(TICK).await;
            }
        }
    }

    pub(super) async fn read_sites(&self, wait: Duration) -> Result<bool, LogError> {
        let records = self.site_table.read(wait).await?;
        self.sites_fresh.set(Some(Instant::now()));
        // A record that a whole reading misses may only have been lost; its daemon writes it again, and
        // one that is gone is found out by calls to it.
        let changed = self.take_sites(&records);
        if changed {
            self.tell(|| StoreUpdate {
                sites: records,
                ..self.news()
            });
        }
        Ok(changed)
    }

    /// Takes records of daemons; returns whether any is new.
    pub(super) fn take_sites(&self, records: &[SiteRecord]) -> bool {
        if records.is_empty() {
            return false;
        }
        let mesh = &self.parts.mesh;
        let before = mesh.with_directory(marigold_dispatch::Directory::generation);
        mesh.update_directory(|directory| {
            for record in records {
                match &record.site {
                    Some(site) => directory.put(site.clone()),
                    None => directory.remove(record.address),
                }
            }
        });
        let (after, known) =
            mesh.with_directory(|directory| (directory.generation(), directory.len()));
        if after == before {
            return false;
        }
        #[expect(clippy::cast_precision_loss, reason = "a gauge is a float")]
        metrics::gauge!("marigold_daemons_known").set(known as f64);
        self.parts.events.emit(
            "daemons_changed",
            Severity::Info,
            &[("records", records.len().into()), ("known", known.into())],
        );
        true
    }
}
