//! Synchronization of the directory of daemons.

use std::rc::Rc;
use std::time::Duration;

use marigold_dispatch::UpdateSource;
use marigold_log::LogError;
use tokio::time::{Instant, sleep};

use super::{
    CHECK_INTERVAL, FALLBACK_READ_INTERVAL, FIRST_CONFIG_INTERVAL, MAX_SITES_AGE, Relay, SITES,
    SITES_BATCH_DELAY, SITES_POLL_TIMEOUT,
};
use crate::control::store_health::StoreHealth;
use crate::events::Severity;
use crate::link::{SiteRecord, StoreUpdate};

impl Relay {
    pub(super) async fn sync_sites(self: Rc<Self>) {
        let mut health = StoreHealth::new(SITES, self.parts.events.clone());
        loop {
            if self.awaits_contact() {
                sleep(FIRST_CONFIG_INTERVAL).await;
                continue;
            }
            let now = Instant::now();
            let elapsed = |since: Instant| now.saturating_duration_since(since);
            let is_stale = self
                .sites_confirmed_at
                .get()
                .is_none_or(|at| elapsed(at) >= MAX_SITES_AGE);
            if self.source() == UpdateSource::Store {
                let result = self.read_sites(SITES_POLL_TIMEOUT).await;
                if self.record_result(result, &mut health).await {
                    sleep(SITES_BATCH_DELAY).await;
                }
            } else if is_stale {
                let result = self.read_sites(Duration::ZERO).await;
                self.record_result(result, &mut health).await;
                sleep(FALLBACK_READ_INTERVAL).await;
            } else {
                sleep(CHECK_INTERVAL).await;
            }
        }
    }

    /// Waits up to `wait` for changed records and applies them; returns whether the directory has changed.
    pub(super) async fn read_sites(&self, wait: Duration) -> Result<bool, LogError> {
        let records = self.site_table.read(wait).await?;
        self.sites_confirmed_at.set(Some(Instant::now()));
        // Records missing from a read of the whole table are kept: the store may have lost them, in which
        // case their daemons write them again. Calls detect daemons that are really gone.
        let changed = self.apply_sites(&records);
        self.parts.mesh.quotas.confirm_directory();
        let mut contact = self.first_contact.get();
        contact.record_read(self.other_daemons(), Instant::now());
        self.first_contact.set(contact);
        if changed {
            self.notify_followers(|| StoreUpdate {
                sites: records,
                ..self.heartbeat()
            });
        }
        Ok(changed)
    }

    /// Applies records of daemons to the directory; returns whether it has changed.
    pub(super) fn apply_sites(&self, records: &[SiteRecord]) -> bool {
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
