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
use crate::control::lost_sites::LostSites;
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
                if self.may_have_lost_sites() {
                    self.site_table.restart();
                }
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
        let batch = self.site_table.read(wait).await?;
        self.sites_confirmed_at.set(Some(Instant::now()));
        // Records missing from a read of the whole table are kept: the store may have lost them. Calls detect daemons that
        // are really gone.
        let lost = (batch.is_whole && self.may_have_lost_sites())
            .then(|| LostSites::find(&self.parts.mesh, &self.selector.borrow(), &batch.records));
        let records = batch.records;
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
        if let Some(lost) = lost
            && self.last_source.get() == Some(UpdateSource::Store)
        {
            self.restore_sites(&lost).await?;
        }
        Ok(changed)
    }

    /// Returns whether records may be missing from the history of the store that was read last, or from the first one.
    fn may_have_lost_sites(&self) -> bool {
        self.restored_history.get() != self.site_table.history()
    }

    /// Writes the records of daemons again that the store has lost. A daemon that writes its own meanwhile goes first: the
    /// table is then read again as a whole.
    async fn restore_sites(&self, lost: &LostSites) -> Result<(), LogError> {
        for site in &lost.reachable {
            let result = self.site_table.restore(site).await;
            if !matches!(result, Ok(true)) {
                self.site_table.restart();
            }
            if !result? {
                return Ok(());
            }
            let fields = [("daemon", site.address.to_string().into())];
            let event = "daemon_record_restored";
            self.parts.events.emit(event, Severity::Info, &fields);
        }
        if lost.are_all_decided {
            self.restored_history.set(self.site_table.history());
        } else {
            sleep(SITES_BATCH_DELAY).await;
        }
        Ok(())
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
