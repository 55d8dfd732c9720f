//! Store updates exchanged with other daemons.

use std::net::SocketAddr;

use marigold_dispatch::{Site, UpdateSource};
use marigold_types::Version;
use tokio::time::Instant;

use super::{PEER_REQUEST_INTERVAL, Relay};
use crate::events::Severity;
use crate::ingress::StoreUpdateListener;
use crate::link::{Follow, RolloutUpdate, SiteRecord, StoreSync, StoreUpdate};

impl Relay {
    /// Sends an update to all followers; it is built only if there are any.
    pub(super) fn notify_followers(&self, update: impl FnOnce() -> StoreUpdate) {
        if let Some(server) = self.parts.server.upgrade() {
            server.notify_followers(update);
        }
    }

    /// Returns an update with the current version and its age, but without any changes.
    pub(super) fn heartbeat(&self) -> StoreUpdate {
        StoreUpdate {
            config_age: self.config_confirmed_at().map(|at| at.elapsed()),
            config: self.configs.borrow().version(),
            ..StoreUpdate::default()
        }
    }

    /// Returns an update that brings a follower from the configuration `base` to the current one.
    pub(super) fn update_since(&self, base: Option<Version>) -> StoreUpdate {
        let (change, delta) = self.configs.borrow().change_since(base).unzip();
        StoreUpdate {
            change,
            delta: delta.unwrap_or_default(),
            ..self.heartbeat()
        }
    }

    /// Applies an update from another daemon; `from` is the address at which it accepts calls, if known.
    pub(super) fn apply_update(&self, from: Option<SocketAddr>, update: &StoreUpdate) {
        let now = Instant::now();
        if let Some(change) = &update.change {
            let config = self.configs.borrow().apply(change, &update.delta);
            let base = change.base.map_or(0, |version| version.0);
            let (event, severity) = match config {
                Some(_) => ("config_change_received", Severity::Info),
                // The base is unknown or the digest differs; the configuration is requested again.
                None => ("config_change_refused", Severity::Warn),
            };
            let fields = [
                ("base", base.into()),
                ("bytes", update.delta.len().into()),
                (
                    "source",
                    from.map_or_else(String::new, |at| at.to_string()).into(),
                ),
            ];
            self.parts.events.emit(event, severity, &fields);
            if let Some(bytes) = config {
                let confirmed_at = update.config_age.and_then(|age| now.checked_sub(age));
                self.configs
                    .borrow_mut()
                    .adopt_offset(change.next, confirmed_at);
                self.install(bytes);
            }
        }
        let version = self.configs.borrow().version();
        let reader =
            from.filter(|from| self.last_source.get() == Some(UpdateSource::Daemon(*from)));
        if let Some(age) = update.config_age
            && version >= update.config
        {
            let at = now.checked_sub(age);
            self.parts.ingress.freshness.confirm(at);
        } else if let Some(reader) = reader
            && version < update.config
            && update.change.is_none()
        {
            let follow = Follow {
                config: version,
                all_sites: false,
            };
            self.parts.mesh.follow(reader, follow);
        }
        if self.apply_sites(&update.sites) {
            self.notify_followers(|| StoreUpdate {
                sites: update.sites.clone(),
                ..self.heartbeat()
            });
        }
        if reader.is_some() || update.all_sites {
            let is_known = update.all_sites || self.knows_sites();
            if is_known {
                self.parts.mesh.quotas.confirm_directory();
            }
            self.sites_confirmed_at.set(is_known.then_some(now));
        }
    }
}

impl StoreUpdateListener for Relay {
    fn on_update(&self, from: SocketAddr, update: StoreUpdate) {
        self.apply_update(Some(from), &update);
    }

    fn updates_for(&self, follow: Follow) -> StoreUpdate {
        StoreSync::updates_for(self, follow)
    }
}

impl StoreSync for Relay {
    fn updates_for(&self, follow: Follow) -> StoreUpdate {
        let mut update = self.update_since(follow.config);
        if follow.all_sites {
            update.all_sites = true;
            update.sites = self.parts.mesh.with_directory(|directory| {
                let record = |site: &Site| SiteRecord {
                    address: site.address,
                    site: Some(site.clone()),
                };
                directory.all().map(record).collect()
            });
        }
        update
    }

    fn rollouts(&self, all: bool) -> Option<RolloutUpdate> {
        self.parts.rollouts.update(all)
    }

    fn request_on_connect(&self) -> Option<Follow> {
        let now = Instant::now();
        let last_request = self.peer_requested_at.get();
        let is_too_early = last_request
            .is_some_and(|at| now.saturating_duration_since(at) < PEER_REQUEST_INTERVAL);
        if is_too_early || self.configs.borrow().version().is_some() {
            return None;
        }
        self.peer_requested_at.set(Some(now));
        Some(Follow {
            config: None,
            all_sites: true,
        })
    }

    fn on_peer_update(&self, update: StoreUpdate) {
        self.apply_update(None, &update);
    }
}
