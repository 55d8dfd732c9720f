//! What a relay tells other daemons and takes from them.

use std::net::SocketAddr;

use marigold_dispatch::{Site, UpdateSource};
use marigold_types::Version;
use tokio::time::Instant;

use super::{QUESTION_PAUSE, Relay};
use crate::events::Severity;
use crate::ingress::StoreUpdateListener;
use crate::link::{Follow, SiteRecord, StoreSync, StoreUpdate};

impl Relay {
    pub(super) fn tell(&self, news: impl FnOnce() -> StoreUpdate) {
        if let Some(server) = self.parts.server.upgrade() {
            server.notify_followers(news);
        }
    }

    /// Returns how much is known of the store.
    pub(super) fn news(&self) -> StoreUpdate {
        StoreUpdate {
            config_age: self.fresh.get().map(|at| at.elapsed()),
            config: self.shelf.borrow().version(),
            ..StoreUpdate::default()
        }
    }

    /// Returns how much is known of the store, with what leads on from the configuration `base`.
    pub(super) fn news_since(&self, base: Option<Version>) -> StoreUpdate {
        let (change, delta) = self.shelf.borrow().change_since(base).unzip();
        StoreUpdate {
            change,
            delta: delta.unwrap_or_default(),
            ..self.news()
        }
    }

    /// Takes news from another daemon; `from` is where it takes calls, if that is known.
    pub(super) fn take_news(&self, from: Option<SocketAddr>, news: &StoreUpdate) {
        let now = Instant::now();
        if let Some(change) = &news.change {
            let changed = self.shelf.borrow().apply(change, &news.delta);
            let base = change.base.map_or(0, |version| version.0);
            let (event, severity) = match changed {
                Some(_) => ("config_change_received", Severity::Info),
                // The base is another one, or the digest differs; it is asked for again.
                None => ("config_change_refused", Severity::Warn),
            };
            let fields = [
                ("base", base.into()),
                ("bytes", news.delta.len().into()),
                (
                    "source",
                    from.map_or_else(String::new, |at| at.to_string()).into(),
                ),
            ];
            self.parts.events.emit(event, severity, &fields);
            if let Some(bytes) = changed {
                self.shelf.borrow_mut().set_next_offset(change.next);
                self.install(bytes);
            }
        }
        let holds = self.shelf.borrow().version();
        let is_reader = from.filter(|from| self.role.get() == Some(UpdateSource::Daemon(*from)));
        if let Some(age) = news.config_age
            && holds >= news.config
        {
            let at = now.checked_sub(age);
            self.fresh.set(self.fresh.get().max(at));
        } else if let Some(from) = is_reader
            && holds < news.config
            && news.change.is_none()
        {
            let follow = Follow {
                config: holds,
                all_sites: false,
            };
            self.parts.mesh.follow(from, follow);
        }
        if self.take_sites(&news.sites) {
            self.tell(|| StoreUpdate {
                sites: news.sites.clone(),
                ..self.news()
            });
        }
        if is_reader.is_some() || news.all_sites {
            let is_known = news.all_sites || self.knows_sites();
            self.sites_fresh.set(is_known.then_some(now));
        }
    }
}

impl StoreUpdateListener for Relay {
    fn on_update(&self, from: SocketAddr, news: StoreUpdate) {
        self.take_news(Some(from), &news);
    }

    fn updates_for(&self, follow: Follow) -> StoreUpdate {
        StoreSync::updates_for(self, follow)
    }
}

impl StoreSync for Relay {
    fn updates_for(&self, follow: Follow) -> StoreUpdate {
        let mut news = self.news_since(follow.config);
        if follow.all_sites {
            news.all_sites = true;
            news.sites = self.parts.mesh.with_directory(|directory| {
                let record = |site: &Site| SiteRecord {
                    address: site.address,
                    site: Some(site.clone()),
                };
                directory.all().map(record).collect()
            });
        }
        news
    }

    fn request_on_connect(&self) -> Option<Follow> {
        let now = Instant::now();
        let asked = self.questioned.get();
        let is_early = asked.is_some_and(|at| now.saturating_duration_since(at) < QUESTION_PAUSE);
        if is_early || self.shelf.borrow().version().is_some() {
            return None;
        }
        self.questioned.set(Some(now));
        Some(Follow {
            config: None,
            all_sites: true,
        })
    }

    fn on_peer_update(&self, news: StoreUpdate) {
        self.take_news(None, &news);
    }
}
