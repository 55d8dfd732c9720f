//! Keeps the configuration and the directory of daemons in sync with the platform's store.
//!
//! One daemon in each data centre, the reader, polls the store. The others follow it and receive updates
//! over their link to it.

mod sites;
mod store_updates;

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use marigold_dispatch::{FirstContact, PollTimer, RelaySelector, UpdateSource};
use marigold_log::{
    KeyedBatch, KeyedRecord, KeyedStore, LogError, LogFailure, StorePosition, TableName,
};
use marigold_types::Version;
use tokio::time::{Instant, sleep};

use super::config_history::ConfigHistory;
use super::protocol::{ConfigSource, DecodedConfig, UnknownPart};
use super::rollouts::Rollouts;
use super::site_table::SiteTable;
use super::store_health::StoreHealth;
use super::store_history::StoreHistory;
use crate::events::{EventLog, Severity};
use crate::ingress::{Ingress, Mesh};
use crate::link::{Follow, LinkServer};

/// Long-poll timeout of the reader for the records of daemons.
const SITES_POLL_TIMEOUT: Duration = Duration::from_secs(15);
/// Delay after a change, so that versions in quick succession are read together.
const CHANGE_BATCH_DELAY: Duration = Duration::from_millis(250);
/// Delay after changed records of daemons, which come one by one while many are replaced. Links show sooner who is gone.
const SITES_BATCH_DELAY: Duration = Duration::from_millis(600);
/// Interval at which a follower checks how current its data is.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of the reader's heartbeats to its followers.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Interval at which a follower renews its subscription, which expires at the reader after a few seconds.
const FOLLOW_INTERVAL: Duration = Duration::from_secs(1);
/// A follower reads the store itself once its configuration was last confirmed this long ago, since a new
/// configuration must be in force within two seconds.
const MAX_CONFIG_AGE: Duration = Duration::from_millis(1_400);
/// A daemon reads the store itself if a version that other daemons route by has not arrived after this
/// time.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a starting daemon waits for its first configuration from the reader.
const FIRST_CONFIG_TIMEOUT: Duration = Duration::from_millis(700);
/// Interval at which a starting daemon checks for a reader that it can follow.
const FIRST_CONFIG_INTERVAL: Duration = Duration::from_millis(20);
/// How long a starting daemon waits for its first read of the records of daemons before it reads the configuration.
const FIRST_READ_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a starting daemon waits for the record of any daemon before it reads the store itself.
const FIRST_SITE_TIMEOUT: Duration = Duration::from_millis(100);
/// Minimum time between two requests for the configuration to daemons that connect.
const PEER_REQUEST_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum time between two reads of the store by a follower.
const FALLBACK_READ_INTERVAL: Duration = Duration::from_secs(1);
/// A follower reads the records of daemons itself once it has had no reader for this long.
const MAX_SITES_AGE: Duration = Duration::from_secs(3);
/// Limit on the parts of one configuration that are reported as not understood, which bounds the labels of the metric.
const MAX_UNKNOWN_PARTS: usize = 16;
/// Names of the tables in log events.
const CONFIG: &str = "config";
const SITES: &str = "sites";

/// Dependencies of a [`Relay`].
pub struct RelayParts {
    /// Client of the platform's store.
    pub store: Rc<dyn KeyedStore>,
    /// Location and format of the configuration.
    pub config_source: Rc<dyn ConfigSource>,
    /// Receives the orders of roll-outs, which are in the table of the configuration.
    pub rollouts: Rc<Rollouts>,
    /// Table with the records of daemons.
    pub site_table: TableName,
    /// Applies configurations to requests.
    pub ingress: Rc<Ingress>,
    /// Holds the directory of daemons and the links to them.
    pub mesh: Rc<Mesh>,
    /// Sends updates to the followers of this daemon.
    pub server: Weak<LinkServer>,
    /// Log of state changes.
    pub events: Rc<EventLog>,
}

/// Synchronizes this daemon with the store, directly or through the reader of its data centre, and relays
/// updates to followers.
pub struct Relay {
    parts: RelayParts,
    selector: RefCell<RelaySelector>,
    configs: RefCell<ConfigHistory>,
    /// Whether the orders of roll-outs have been read since the start.
    orders_read: Cell<bool>,
    site_table: SiteTable,
    /// The history of the store in which lost records of daemons have been written again.
    restored_history: Cell<Option<StoreHistory>>,
    /// When the directory was last known to be complete.
    sites_confirmed_at: Cell<Option<Instant>>,
    first_contact: Cell<FirstContact>,
    /// The source at the last check, to log changes of it.
    last_source: Cell<Option<UpdateSource>>,
    /// When a daemon that connected was last asked for the configuration.
    peer_requested_at: Cell<Option<Instant>>,
}

impl Relay {
    /// Creates a relay that selects its source with `selector`.
    #[must_use]
    pub fn new(parts: RelayParts, selector: RelaySelector) -> Rc<Self> {
        let (store, events) = (parts.store.clone(), parts.events.clone());
        let site_table = SiteTable::new(store, parts.site_table.clone(), events);
        Rc::new(Self {
            parts,
            selector: RefCell::new(selector),
            configs: RefCell::default(),
            orders_read: Cell::new(false),
            site_table,
            restored_history: Cell::new(None),
            sites_confirmed_at: Cell::new(None),
            first_contact: Cell::default(),
            last_source: Cell::new(None),
            peer_requested_at: Cell::new(None),
        })
    }

    /// Spawns the synchronization tasks on the current local task set.
    pub fn start(self: &Rc<Self>) {
        self.parts.mesh.set_update_listener(self.clone());
        tokio::task::spawn_local(self.clone().sync_config());
        tokio::task::spawn_local(self.clone().sync_sites());
        tokio::task::spawn_local(self.clone().send_heartbeats());
    }

    /// Returns whether the directory has been complete at any time since the start.
    #[must_use]
    pub fn knows_sites(&self) -> bool {
        self.sites_confirmed_at.get().is_some()
    }

    /// Returns when the current configuration was last confirmed to be the newest.
    fn config_confirmed_at(&self) -> Option<Instant> {
        self.parts.ingress.freshness.confirmed_at()
    }

    /// Returns whether this daemon has just started and others are about to tell more than the store.
    fn awaits_contact(&self) -> bool {
        let mesh = &self.parts.mesh;
        let others = self.other_daemons();
        let has_link = mesh.with_directory(|directory| {
            let is_up = |address| mesh.with_placement(|placement| placement.is_up(address));
            directory.all().any(|site| is_up(site.address))
        });
        self.first_contact
            .get()
            .is_waiting(others, has_link, Instant::now())
    }

    fn other_daemons(&self) -> usize {
        let own = self.selector.borrow().own();
        self.parts
            .mesh
            .with_directory(|directory| directory.all().filter(|site| site.address != own).count())
    }

    /// Selects the current source of updates and logs a change of it.
    fn source(&self) -> UpdateSource {
        let mesh = &self.parts.mesh;
        let source = mesh.with_directory(|directory| {
            let is_up = |address| mesh.with_placement(|placement| placement.is_up(address));
            let mut selector = self.selector.borrow_mut();
            selector.choose(directory, is_up, Instant::now())
        });
        let is_reader = source == UpdateSource::Store;
        self.parts.rollouts.set_reader(is_reader);
        if self.last_source.replace(Some(source)) != Some(source) {
            let from = match source {
                UpdateSource::Store => "store".to_owned(),
                UpdateSource::Daemon(address) => address.to_string(),
            };
            let event = "news_source_changed";
            self.parts
                .events
                .emit(event, Severity::Info, &[("source", from.into())]);
        }
        source
    }

    async fn sync_config(self: Rc<Self>) {
        let mut health = StoreHealth::new(CONFIG, self.parts.events.clone());
        let mut last_read = Instant::now();
        let mut behind_since: Option<Instant> = None;
        let mut poll_timer = PollTimer::default();
        let mut polled_at = Instant::now();
        self.request_first_config().await;
        loop {
            let has_config = self.configs.borrow().version().is_some();
            let is_reader = self.source() == UpdateSource::Store;
            if !has_config || is_reader {
                let began = Instant::now();
                let since = began.saturating_duration_since(polled_at);
                if has_config && since >= MAX_CONFIG_AGE {
                    // After a time in which others have read, the changes in between may be many and large.
                    polled_at = began;
                    let result = self.read_latest_config().await;
                    self.record_result(result, &mut health).await;
                    continue;
                }
                let wait = poll_timer.wait(since);
                let result = self.read_config(wait).await;
                polled_at = Instant::now();
                if matches!(result, Ok(false)) {
                    poll_timer.record_unchanged(polled_at - began, wait);
                }
                let changed = self.record_result(result, &mut health).await;
                if changed {
                    sleep(CHANGE_BATCH_DELAY).await;
                }
                continue;
            }
            sleep(CHECK_INTERVAL).await;
            let now = Instant::now();
            let is_behind = self.is_behind();
            behind_since = is_behind.then(|| behind_since.unwrap_or(now));
            let elapsed = |since: Instant| now.saturating_duration_since(since);
            let is_stale = self
                .config_confirmed_at()
                .is_none_or(|at| elapsed(at) >= MAX_CONFIG_AGE);
            let is_in_doubt = self.parts.rollouts.has_doubtful_order();
            let is_overdue = behind_since.is_some_and(|since| elapsed(since) >= CATCH_UP_TIMEOUT);
            if (is_stale || is_overdue || is_in_doubt)
                && elapsed(last_read) >= FALLBACK_READ_INTERVAL
            {
                last_read = now;
                if let (true, UpdateSource::Daemon(reader)) = (is_stale, self.source()) {
                    self.selector.borrow_mut().exclude(reader, now);
                }
                let result = self.read_latest_config().await;
                self.record_result(result, &mut health).await;
            }
        }
    }

    /// Requests the first configuration from the reader of the data centre and waits for it for a limited
    /// time. The reader sends it compressed, which takes a fraction of the time on a slow link.
    ///
    /// Returns early if this daemon will be the reader itself, or no record of any daemon arrives.
    async fn request_first_config(&self) {
        let began = Instant::now();
        let awaits_sites = || !self.knows_sites() && began.elapsed() < FIRST_READ_TIMEOUT;
        while awaits_sites() || self.awaits_contact() {
            if self.configs.borrow().version().is_some() {
                return;
            }
            sleep(FIRST_CONFIG_INTERVAL).await;
        }
        let began = Instant::now();
        let mut requested_from = None;
        while began.elapsed() < FIRST_CONFIG_TIMEOUT && self.configs.borrow().version().is_none() {
            let (known, preferred) = self.parts.mesh.with_directory(|directory| {
                let mut selector = self.selector.borrow_mut();
                let preferred = selector.choose(directory, |_| true, Instant::now());
                (directory.len(), preferred)
            });
            let is_alone = known == 0 && began.elapsed() >= FIRST_SITE_TIMEOUT;
            if is_alone || (known > 0 && preferred == UpdateSource::Store) {
                return;
            }
            let source = self.source();
            if let UpdateSource::Daemon(reader) = source
                && requested_from != Some(source)
            {
                requested_from = Some(source);
                let follow = Follow {
                    config: None,
                    all_sites: true,
                };
                self.parts.mesh.follow(reader, follow);
            }
            sleep(FIRST_CONFIG_INTERVAL).await;
        }
    }

    /// Returns whether other daemons route calls by a newer configuration than the current one.
    fn is_behind(&self) -> bool {
        let newest_seen = *self.parts.ingress.newest_seen_version.borrow();
        self.configs.borrow().version() < Some(newest_seen)
    }

    /// Waits up to `wait` for a change of the configuration and applies it; returns whether there was one.
    async fn read_config(&self, wait: Duration) -> Result<bool, LogError> {
        let table = self.parts.config_source.table();
        let next = self.next_read();
        let batch = match next {
            None => self.parts.store.snapshot(&table).await?,
            Some(from) => self.parts.store.changes(&table, from, wait).await?,
        };
        Ok(self.apply_batch(&batch, next.is_none()))
    }

    /// Reads the latest configuration without waiting; returns whether it is newer than the current one.
    async fn read_latest_config(&self) -> Result<bool, LogError> {
        let table = self.parts.config_source.table();
        let next = self.next_read();
        let batch = match next {
            None => self.parts.store.snapshot(&table).await?,
            Some(from) => self.parts.store.latest_change(&table, from).await?,
        };
        Ok(self.apply_batch(&batch, next.is_none()))
    }

    /// Returns where to continue reading, or `None` to read the whole table: a configuration that other daemons sent says
    /// nothing of the orders of roll-outs before it.
    fn next_read(&self) -> Option<StorePosition> {
        let next = self.configs.borrow().position();
        next.filter(|_| self.orders_read.get())
    }

    /// Applies a batch read from the store; returns whether the configuration has changed.
    fn apply_batch(&self, batch: &KeyedBatch, is_whole: bool) -> bool {
        self.parts.ingress.freshness.confirm(Some(Instant::now()));
        self.configs
            .borrow_mut()
            .set_position(batch.next, Instant::now());
        self.orders_read.set(self.orders_read.get() || is_whole);
        self.parts
            .rollouts
            .apply_orders(&batch.records, batch.next.era, is_whole);
        let is_config = |record: &&KeyedRecord| *record.key == *self.parts.config_source.key();
        let newest = batch.records.iter().rev().find(is_config);
        // If the record was deleted, the current configuration stays in force.
        let value = newest.and_then(|record| record.value.clone());
        value.is_some_and(|value| self.install(value))
    }

    /// Applies a configuration if it is newer than the current one, and sends it to followers.
    fn install(&self, value: Bytes) -> bool {
        let events = &self.parts.events;
        let DecodedConfig { table, unknown } = match self.parts.config_source.decode(&value) {
            Ok(config) => config,
            Err(error) => {
                let cause = error.to_string().into();
                events.emit("config_refused", Severity::Warn, &[("cause", cause)]);
                return false;
            }
        };
        let version = table.version();
        if !self.parts.ingress.install(Arc::new(table)) {
            return false;
        }
        #[expect(clippy::cast_precision_loss, reason = "a gauge is a float")]
        metrics::gauge!("marigold_config_version").set(version.0 as f64);
        events.emit(
            "config_in_force",
            Severity::Info,
            &[("version", version.0.into()), ("bytes", value.len().into())],
        );
        self.report_unknown(version, &unknown);
        let previous = self.configs.borrow().version();
        self.configs.borrow_mut().push(version, value);
        // Followers ask for the first one on a heartbeat, since they may already have it from elsewhere.
        self.notify_followers(|| match previous {
            Some(previous) => self.update_since(Some(previous)),
            None => self.heartbeat(),
        });
        true
    }

    /// Reports the parts of a configuration that were not understood, once for each version.
    fn report_unknown(&self, version: Version, unknown: &[UnknownPart]) {
        for part in unknown.iter().take(MAX_UNKNOWN_PARTS) {
            let fields = [
                ("version", version.0.into()),
                ("part", part.path.as_str().into()),
                ("reading", part.reading.into()),
            ];
            let event = "config_part_unknown";
            self.parts.events.emit(event, Severity::Warn, &fields);
            metrics::counter!("marigold_config_unknown_parts_total", "part" => part.path.clone(), "reading" => part.reading)
                .increment(1);
        }
    }

    /// Sends heartbeats to followers, and renews this daemon's own subscription to the reader.
    async fn send_heartbeats(self: Rc<Self>) {
        let mut last_follow: Option<(Instant, UpdateSource)> = None;
        loop {
            self.notify_followers(|| self.heartbeat());
            self.parts.rollouts.notify_followers(false);
            if let Some(at) = self.config_confirmed_at() {
                let age = at.elapsed().as_secs_f64();
                metrics::gauge!("marigold_config_age_seconds").set(age);
            }
            let source = self.source();
            let now = Instant::now();
            let is_due = last_follow.is_none_or(|(at, followed)| {
                followed != source || now.saturating_duration_since(at) >= FOLLOW_INTERVAL
            });
            if let (true, UpdateSource::Daemon(reader)) = (is_due, source) {
                let all_sites = last_follow.is_none_or(|(_, followed)| followed != source);
                last_follow = Some((now, source));
                let config = self.configs.borrow().version();
                let follow = Follow { config, all_sites };
                self.parts.mesh.follow(reader, follow);
            }
            sleep(HEARTBEAT_INTERVAL).await;
        }
    }

    /// Records the result of a store request and backs off after a failure; returns whether there was a
    /// change.
    async fn record_result(
        &self,
        result: Result<bool, LogError>,
        health: &mut StoreHealth,
    ) -> bool {
        let error = match result {
            Ok(changed) => {
                health.record_success();
                return changed;
            }
            Err(error) => error,
        };
        if let LogFailure::Replaced { era } = error.failure {
            health.record_replacement(era);
        }
        if error.invalidates_position() {
            // The store no longer has some of the changes, so the table is read as a whole.
            match health.table() {
                CONFIG => self.configs.borrow_mut().clear_position(),
                _ => self.site_table.restart(),
            }
        } else {
            health.record_failure(&error).await;
        }
        false
    }
}
