//! Brings the store's tables to this daemon: by reading them, or from the daemon that reads them for the
//! data centre.

mod sites;
mod store_updates;

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use marigold_dispatch::{RelaySelector, UpdateSource};
use marigold_log::{KeyedBatch, KeyedRecord, KeyedStore, LogError, LogFailure, TableName};
use tokio::time::{Instant, sleep};

use super::config_history::ConfigHistory;
use super::protocol::ConfigSource;
use super::site_table::SiteTable;
use super::store_health::StoreHealth;
use crate::events::{EventLog, Severity};
use crate::ingress::{Ingress, Mesh};
use crate::link::{Follow, LinkServer};

/// How long a reader's question for a new configuration waits; its answer shows that the store is
/// there, which followers depend on.
const CONFIG_WAIT: Duration = Duration::from_millis(900);
/// How long a reader's question for daemons' records waits.
const SITES_WAIT: Duration = Duration::from_secs(15);
/// The pause after a change: versions in quick succession are taken once and not one by one.
const PAUSE: Duration = Duration::from_millis(250);
/// How often a follower looks at what it has.
const TICK: Duration = Duration::from_millis(100);
/// How often a reader tells its followers that it is there.
const BEAT: Duration = Duration::from_millis(400);
/// How often a follower asks to go on; a reader forgets it after some seconds.
const FOLLOW_TICK: Duration = Duration::from_secs(1);
/// How old the knowledge of the newest configuration may grow before a follower looks itself: a
/// configuration has to be in force within two seconds.
const MAX_AGE: Duration = Duration::from_millis(1_400);
/// How long a version that a call was routed by may take to come before this daemon looks itself.
const CATCH_UP: Duration = Duration::from_millis(300);
/// How long a daemon that starts waits for its first configuration from another one, and how often it
/// looks whether one can be asked.
const ASK_TIME: Duration = Duration::from_millis(700);
const ASK_TICK: Duration = Duration::from_millis(20);
/// How long a daemon that starts waits for the records of others before it reads the store itself.
const ALONE_TIME: Duration = Duration::from_millis(100);
/// The least time between two questions to daemons that connect.
const QUESTION_PAUSE: Duration = Duration::from_millis(500);
/// The least time between two looks of a follower.
const LOOK_PAUSE: Duration = Duration::from_secs(1);
/// How long a follower may be without a reader before it reads daemons' records itself.
const SITES_AGE: Duration = Duration::from_secs(3);
/// The tables in log lines.
const CONFIG: &str = "config";
const SITES: &str = "sites";

/// The parts that a relay joins.
pub struct RelayParts {
    /// The platform's store.
    pub store: Rc<dyn KeyedStore>,
    /// Where the configuration stands and how it is written.
    pub config_source: Rc<dyn ConfigSource>,
    /// The table of daemons.
    pub site_table: TableName,
    /// Where configurations come into force.
    pub ingress: Rc<Ingress>,
    /// Where daemons are known.
    pub mesh: Rc<Mesh>,
    /// How daemons that follow this one are reached.
    pub server: Weak<LinkServer>,
    /// The log.
    pub events: Rc<EventLog>,
}

/// Keeps configuration and directory up to date.
pub struct Relay {
    parts: RelayParts,
    choice: RefCell<RelaySelector>,
    shelf: RefCell<ConfigHistory>,
    /// When the configuration that is held was known to be the newest.
    fresh: Cell<Option<Instant>>,
    site_table: SiteTable,
    /// When the directory was last known to be complete.
    sites_fresh: Cell<Option<Instant>>,
    role: Cell<Option<UpdateSource>>,
    /// When a daemon that connected was last asked.
    questioned: Cell<Option<Instant>>,
}

impl Relay {
    /// Builds the relay of the daemon that chooses its source by `choice`.
    #[must_use]
    pub fn new(parts: RelayParts, choice: RelaySelector) -> Rc<Self> {
        let (store, events) = (parts.store.clone(), parts.events.clone());
        let site_table = SiteTable::new(store, parts.site_table.clone(), events);
        Rc::new(Self {
            parts,
            choice: RefCell::new(choice),
            shelf: RefCell::default(),
            fresh: Cell::new(None),
            site_table,
            sites_fresh: Cell::new(None),
            role: Cell::new(None),
            questioned: Cell::new(None),
        })
    }

    /// Starts to bring news, on the current local task set.
    pub fn start(self: &Rc<Self>) {
        self.parts.mesh.set_update_listener(self.clone());
        tokio::task::spawn_local(self.clone().bring_config());
        tokio::task::spawn_local(self.clone().bring_sites());
        tokio::task::spawn_local(self.clone().beat());
    }

    /// Returns whether the directory was read since the start.
    #[must_use]
    pub fn knows_sites(&self) -> bool {
        self.sites_fresh.get().is_some()
    }

    /// Returns who brings news now, and notes a change.
    fn source(&self) -> UpdateSource {
        let mesh = &self.parts.mesh;
        let source = mesh.with_directory(|directory| {
            let is_up = |address| mesh.with_placement(|placement| placement.is_up(address));
            let mut choice = self.choice.borrow_mut();
            choice.choose(directory, is_up, Instant::now())
        });
        if self.role.replace(Some(source)) != Some(source) {
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

    async fn bring_config(self: Rc<Self>) {
        let mut health = StoreHealth::new(CONFIG, self.parts.events.clone());
        let mut looked = Instant::now();
        let mut wanted_since: Option<Instant> = None;
        self.ask_first().await;
        loop {
            let has_any = self.shelf.borrow().version().is_some();
            let is_reader = self.source() == UpdateSource::Store;
            if !has_any || is_reader {
                let result = self.read_config(CONFIG_WAIT).await;
                let changed = self.settle(result, &mut health).await;
                if changed {
                    sleep(PAUSE).await;
                }
                continue;
            }
            sleep(TICK).await;
            let now = Instant::now();
            let is_behind = self.is_behind();
            wanted_since = is_behind.then(|| wanted_since.unwrap_or(now));
            let passed = |since: Instant| now.saturating_duration_since(since);
            let is_old = self.fresh.get().is_none_or(|at| passed(at) >= MAX_AGE);
            let is_wanted = wanted_since.is_some_and(|since| passed(since) >= CATCH_UP);
            if (is_old || is_wanted) && passed(looked) >= LOOK_PAUSE {
                looked = now;
                if let (true, UpdateSource::Daemon(reader)) = (is_old, self.source()) {
                    self.choice.borrow_mut().exclude(reader, now);
                }
                let result = self.look_at_config().await;
                self.settle(result, &mut health).await;
            }
        }
    }

    /// Gives the daemon that reads for the data centre some time to bring the first configuration: it
    /// sends it compressed, which a narrow link carries in a fraction of the time.
    ///
    /// The one that will be the reader does not wait, nor does any before the first record of a daemon.
    async fn ask_first(&self) {
        let began = Instant::now();
        let mut asked = None;
        while began.elapsed() < ASK_TIME && self.shelf.borrow().version().is_none() {
            let (known, first) = self.parts.mesh.with_directory(|directory| {
                let mut choice = self.choice.borrow_mut();
                let first = choice.choose(directory, |_| true, Instant::now());
                (directory.len(), first)
            });
            let is_alone = known == 0 && began.elapsed() >= ALONE_TIME;
            if is_alone || (known > 0 && first == UpdateSource::Store) {
                return;
            }
            let source = self.source();
            if let UpdateSource::Daemon(reader) = source
                && asked != Some(source)
            {
                asked = Some(source);
                let follow = Follow {
                    config: None,
                    all_sites: true,
                };
                self.parts.mesh.follow(reader, follow);
            }
            sleep(ASK_TICK).await;
        }
    }

    /// Returns whether calls were routed by a newer configuration than the one that is held.
    fn is_behind(&self) -> bool {
        let wanted = *self.parts.ingress.newest_seen_version.borrow();
        self.shelf.borrow().version() < Some(wanted)
    }

    async fn read_config(&self, wait: Duration) -> Result<bool, LogError> {
        let table = self.parts.config_source.table();
        let next = self.shelf.borrow().next_offset();
        let batch = match next {
            None => self.parts.store.newest(&table).await?,
            Some(from) => self.parts.store.changes(&table, from, wait).await?,
        };
        Ok(self.take_config(&batch))
    }

    async fn look_at_config(&self) -> Result<bool, LogError> {
        let table = self.parts.config_source.table();
        let next = self.shelf.borrow().next_offset();
        let batch = match next {
            None => self.parts.store.newest(&table).await?,
            Some(from) => self.parts.store.latest(&table, from).await?,
        };
        Ok(self.take_config(&batch))
    }

    /// Takes what the store gave; returns whether the configuration has changed.
    fn take_config(&self, batch: &KeyedBatch) -> bool {
        self.fresh.set(Some(Instant::now()));
        self.shelf.borrow_mut().set_next_offset(batch.next);
        let is_config = |record: &&KeyedRecord| *record.key == *self.parts.config_source.key();
        let newest = batch.records.iter().rev().find(is_config);
        // Without its record the configuration that is in force stays so.
        let value = newest.and_then(|record| record.value.clone());
        value.is_some_and(|value| self.install(value))
    }

    /// Puts a configuration in force if it is newer, and tells followers.
    fn install(&self, value: Bytes) -> bool {
        let events = &self.parts.events;
        let table = match self.parts.config_source.decode(&value) {
            Ok(table) => table,
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
        let before = self.shelf.borrow().version();
        self.shelf.borrow_mut().push(version, value);
        if let Some(before) = before {
            self.tell(|| self.news_since(Some(before)));
        }
        true
    }

    /// Tells followers that this daemon is there, and the one that this daemon follows what it holds.
    async fn beat(self: Rc<Self>) {
        let mut asked: Option<(Instant, UpdateSource)> = None;
        loop {
            self.tell(|| self.news());
            if let Some(at) = self.fresh.get() {
                let age = at.elapsed().as_secs_f64();
                metrics::gauge!("marigold_config_age_seconds").set(age);
            }
            let source = self.source();
            let now = Instant::now();
            let is_due = asked.is_none_or(|(at, of)| {
                of != source || now.saturating_duration_since(at) >= FOLLOW_TICK
            });
            if let (true, UpdateSource::Daemon(reader)) = (is_due, source) {
                let all_sites = asked.is_none_or(|(_, of)| of != source);
                asked = Some((now, source));
                let config = self.shelf.borrow().version();
                let follow = Follow { config, all_sites };
                self.parts.mesh.follow(reader, follow);
            }
            sleep(BEAT).await;
        }
    }

    /// Notes how a call to the store ended and waits after a failure; returns whether it brought news.
    async fn settle(&self, result: Result<bool, LogError>, health: &mut StoreHealth) -> bool {
        let error = match result {
            Ok(changed) => {
                health.succeeded();
                return changed;
            }
            Err(error) => error,
        };
        if matches!(error.failure, LogFailure::Trimmed { .. }) {
            // Some changes are gone; the table is read anew.
            match health.table() {
                CONFIG => self.shelf.borrow_mut().clear_next_offset(),
                _ => self.site_table.restart(),
            }
        } else {
            health.failed(&error).await;
        }
        false
    }
}
