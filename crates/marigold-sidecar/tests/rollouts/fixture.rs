//! A decider, the counts that executors send it, and a store in memory.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_trait::async_trait;
use bytes::Bytes;
use marigold_dispatch::{
    CallKind, KindCounts, LinkRate, RolloutOrder, RolloutState, RolloutStatus, Site, VersionCounts,
};
use marigold_log::{
    KeyedBatch, KeyedRecord, KeyedStore, LogError, LogFailure, StoreEra, StorePosition, TableName,
};
use marigold_sidecar::CrashTracker;
use marigold_sidecar::control::{DecodeError, OrderTerms, RolloutFormat, RolloutParts, Rollouts};
use marigold_sidecar::events::EventLog;
use marigold_sidecar::ingress::{Mesh, MeshOptions, RolloutListener, Tuning};
use marigold_sidecar::link::{RolloutEntry, RolloutUpdate};
use marigold_types::{LogOffset, ServiceName, SlotCount};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::{Instant, sleep};

use crate::common::service;

const STATES: &str = "states";
const KEY: &str = "desk";
const ROUND: Duration = Duration::from_millis(200);
/// Runs of each server in a round.
const RUNS: u32 = 3;
const SERVERS: u16 = 5;

/// A fault of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Fault {
    #[default]
    None,
    /// It answers nothing and does nothing.
    Away,
    /// It writes and does not say so.
    LoseAnswers,
}

/// A store in memory with one table of states.
#[derive(Default)]
pub struct MemoryStore {
    pub fault: Cell<Fault>,
    era: Cell<Option<StoreEra>>,
    states: RefCell<Vec<Bytes>>,
}

impl MemoryStore {
    pub fn write_status(&self, text: &str) {
        self.states.borrow_mut().push(Bytes::from(text.to_owned()));
    }

    pub fn last_status(&self) -> String {
        let states = self.states.borrow();
        let last = states.last().cloned().unwrap_or_default();
        String::from_utf8(last.to_vec()).expect("text")
    }

    pub fn state(&self) -> Option<RolloutState> {
        let text = self.last_status();
        let (_, status) = TextFormat.decode_status(KEY, text.as_bytes()).ok()??;
        Some(status.state)
    }

    /// Comes back from a copy that has the first `kept` states.
    pub fn come_back(&self, kept: usize) {
        let era = self.era.get().map_or(1, |era| era.0 + 1);
        self.era.set(Some(StoreEra(era)));
        self.states.borrow_mut().truncate(kept);
    }

    /// Returns the number of states that have been written.
    pub fn written(&self) -> usize {
        self.states.borrow().len()
    }

    fn check(&self, position: StorePosition) -> Result<(), LogError> {
        match self.era.get() {
            Some(era) if position.era != Some(era) => Err(LogError {
                failure: LogFailure::Replaced { era },
                ..failure()
            }),
            _ => Ok(()),
        }
    }

    /// Rewrites the latest status as if the roll-out had begun this long ago.
    pub fn set_began(&self, age: Duration) {
        let began = unix_now().saturating_sub(age);
        let text = self.last_status();
        let mut words: Vec<_> = text.split(' ').collect();
        let began = began.as_millis().to_string();
        words[3] = &began;
        self.write_status(&words.join(" "));
    }

    fn read(&self, from: u64) -> Result<KeyedBatch, LogError> {
        if self.fault.get() == Fault::Away {
            return Err(failure());
        }
        let states = self.states.borrow();
        let numbered = (0..)
            .zip(states.iter())
            .filter(|(offset, _)| *offset >= from);
        let record = |(offset, value): (u64, &Bytes)| KeyedRecord {
            offset: LogOffset(offset),
            key: Arc::from(KEY),
            value: Some(value.clone()),
        };
        Ok(KeyedBatch {
            records: numbered.map(record).collect(),
            next: StorePosition {
                era: self.era.get(),
                offset: LogOffset(states.len() as u64),
            },
        })
    }
}

fn failure() -> LogError {
    LogError {
        step: "test",
        peer: Arc::from("store"),
        failure: LogFailure::Unknown {
            reason: Arc::from("no answer"),
        },
    }
}

#[async_trait(?Send)]
impl KeyedStore for MemoryStore {
    async fn snapshot(&self, _table: &TableName) -> Result<KeyedBatch, LogError> {
        let mut batch = self.read(0)?;
        let older = batch.records.len().saturating_sub(1);
        batch.records.drain(..older);
        Ok(batch)
    }

    async fn changes(
        &self,
        _table: &TableName,
        from: StorePosition,
        wait: Duration,
    ) -> Result<KeyedBatch, LogError> {
        let until = Instant::now() + wait;
        loop {
            let batch = self.read(from.offset.0)?;
            self.check(from)?;
            if !batch.records.is_empty() || Instant::now() >= until {
                return Ok(batch);
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    async fn latest_change(
        &self,
        table: &TableName,
        from: StorePosition,
    ) -> Result<KeyedBatch, LogError> {
        self.changes(table, from, Duration::ZERO).await
    }

    async fn put(&self, _: &TableName, _: &str, _: Option<Bytes>) -> Result<(), LogError> {
        panic!("states are written under a condition");
    }

    async fn put_if(
        &self,
        _table: &TableName,
        _key: &str,
        value: Bytes,
        end: StorePosition,
    ) -> Result<bool, LogError> {
        if self.fault.get() == Fault::Away {
            return Err(failure());
        }
        self.check(end)?;
        let is_end = self.states.borrow().len() as u64 == end.offset.0;
        if is_end {
            self.states.borrow_mut().push(value);
        }
        if self.fault.get() == Fault::LoseAnswers {
            return Err(failure());
        }
        Ok(is_end)
    }
}

/// Orders are `VERSION SECONDS`, states `STATE VERSION ORDER BEGAN`.
struct TextFormat;

impl RolloutFormat for TextFormat {
    fn status_table(&self) -> TableName {
        TableName(Arc::from(STATES))
    }

    fn is_order(&self, key: &str) -> bool {
        key == KEY
    }

    fn status_key(&self, service: &ServiceName) -> String {
        service.to_string()
    }

    fn decode_order(&self, key: &str, bytes: &[u8]) -> Result<OrderTerms, DecodeError> {
        let text = String::from_utf8_lossy(bytes);
        let (target, seconds) = text.split_once(' ').ok_or_else(unreadable)?;
        Ok(OrderTerms {
            service: service(key),
            target: target.parse().map_err(|_| unreadable())?,
            duration: Duration::from_secs(seconds.parse().map_err(|_| unreadable())?),
        })
    }

    fn decode_status(
        &self,
        key: &str,
        bytes: &[u8],
    ) -> Result<Option<(ServiceName, RolloutStatus)>, DecodeError> {
        let text = String::from_utf8_lossy(bytes);
        let words: Vec<_> = text.split(' ').collect();
        let [state, target, order, rest @ ..] = &words[..] else {
            return Err(unreadable());
        };
        let all = [
            RolloutState::Canary,
            RolloutState::Shifting,
            RolloutState::Completed,
            RolloutState::RolledBack,
        ];
        let state = all.into_iter().find(|other| other.to_string() == *state);
        let status = RolloutStatus {
            state: state.ok_or_else(unreadable)?,
            target: target.parse().map_err(|_| unreadable())?,
            order: order.parse().ok().map(LogOffset),
            began_ms: rest.first().and_then(|began| began.parse().ok()),
        };
        Ok(Some((service(key), status)))
    }

    fn encode_status(&self, status: &RolloutStatus) -> Bytes {
        let order = status.order.map_or(0, |order| order.0);
        let began = status.began_ms.unwrap_or_default();
        let (state, target) = (status.state, &status.target);
        Bytes::from(format!("{state} {target} {order} {began}"))
    }
}

fn unreadable() -> DecodeError {
    DecodeError {
        subject: "test",
        problem: "unreadable".to_owned(),
    }
}

/// A daemon that decides, its store, and the counts of ten servers, half of them of version `v2`.
pub struct Fixture {
    pub store: Rc<MemoryStore>,
    daemons: Vec<Rc<Rollouts>>,
    counts: Vec<(SocketAddr, VersionCounts)>,
    orders: Vec<KeyedRecord>,
    rounds: u32,
    tasks: tokio::task::LocalSet,
}

impl Fixture {
    pub fn new() -> Self {
        let store = Rc::new(MemoryStore::default());
        let counts = (0..2 * SERVERS).map(|number| {
            let version = if number < SERVERS { "v2" } else { "v1" };
            let counts = VersionCounts {
                service: service(KEY),
                version: version.parse().expect("a version"),
                instance: 1,
                kinds: vec![KindCounts::new(CallKind(Arc::from("read")))],
            };
            (SocketAddr::from(([127, 0, 0, 2], 10 + number)), counts)
        });
        let tasks = tokio::task::LocalSet::new();
        let rollouts = start(&store, &tasks);
        Self {
            daemons: vec![rollouts],
            store,
            counts: counts.collect(),
            orders: Vec::new(),
            rounds: 0,
            tasks,
        }
    }

    /// Orders a roll-out.
    pub fn order(&mut self, target: &str, seconds: &str) {
        let record = KeyedRecord {
            offset: LogOffset(7 + self.orders.len() as u64),
            key: Arc::from(KEY),
            value: Some(Bytes::from(format!("{target} {seconds}"))),
        };
        for daemon in &self.daemons {
            daemon.apply_orders(std::slice::from_ref(&record), self.store.era.get(), false);
        }
        self.orders.push(record);
    }

    /// Reads the last order again from a store that came back from a copy, at another offset if it was lost meanwhile.
    pub fn reread_order(&mut self, offset: u64) {
        let last = self.orders.last_mut().expect("an order");
        last.offset = LogOffset(offset);
        for daemon in &self.daemons {
            daemon.apply_orders(std::slice::from_ref(last), self.store.era.get(), true);
        }
    }

    /// Passes the roll-outs of another daemon on, whose order has this offset.
    pub fn hear_of_order(&self, offset: u64) {
        let last = self.orders.last().expect("an order");
        let value = last.value.as_deref().expect("an order");
        let terms = TextFormat.decode_order(KEY, value).expect("an order");
        let entry = RolloutEntry {
            order: RolloutOrder {
                id: LogOffset(offset),
                service: terms.service,
                target: terms.target,
                duration: terms.duration,
            },
            age: Duration::ZERO,
            status: None,
        };
        let update = RolloutUpdate {
            rollouts: vec![entry],
            status_age: None,
        };
        for daemon in &self.daemons {
            daemon.on_rollouts(&update);
        }
    }

    /// Returns whether the daemon has to read the store to judge an order.
    pub fn is_in_doubt(&self) -> bool {
        self.daemons[0].has_doubtful_order()
    }

    /// Replaces all backend servers by new ones.
    pub fn renew_servers(&mut self) {
        for (_, counts) in &mut self.counts {
            counts.instance += 1;
            counts.kinds = vec![KindCounts::new(CallKind(Arc::from("read")))];
        }
    }

    /// Replaces the daemon by one that knows only the orders.
    pub fn restart(&mut self) {
        self.tasks = tokio::task::LocalSet::new();
        let daemon = start(&self.store, &self.tasks);
        let last = self.orders.len() - 1;
        daemon.apply_orders(&self.orders[last..], self.store.era.get(), true);
        self.daemons = vec![daemon];
    }

    /// Adds a daemon that takes itself for the first decider, too.
    pub fn add_decider(&mut self) {
        self.daemons.push(start(&self.store, &self.tasks));
    }

    /// Runs the daemon for `time`, while this share of the responses of `v2` fail.
    pub async fn play(&mut self, time: Duration, failing: f64) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            self.rounds += 1;
            for (address, counts) in &mut self.counts {
                let is_target = counts.version.as_str() == "v2";
                let kind = &mut counts.kinds[0];
                kind.ended += RUNS;
                kind.timed += RUNS;
                kind.run_time += Duration::from_millis(20) * RUNS;
                if is_target && f64::from(kind.failed) < f64::from(kind.ended) * failing {
                    kind.failed += RUNS - 1;
                }
                for daemon in &self.daemons {
                    daemon.on_counts(*address, counts.clone());
                }
            }
            self.tasks.run_until(sleep(ROUND)).await;
        }
    }

    /// Asserts that the only final state in the store is `state`.
    pub fn expect_final(&self, state: RolloutState) {
        assert_eq!(
            self.store.state(),
            Some(state),
            "{}",
            self.store.last_status()
        );
        let written = self.store.states.borrow();
        let last = self.orders.len() + 6;
        let is_final = |bytes: &&Bytes| {
            let status = TextFormat.decode_status(KEY, bytes).ok().flatten();
            status.is_some_and(|(_, status)| {
                let is_of_last = status.order.is_none_or(|order| order.0 == last as u64);
                status.state.is_final() && is_of_last
            })
        };
        assert!(written.iter().filter(is_final).count() <= 1, "{written:?}");
    }
}

fn start(store: &Rc<MemoryStore>, tasks: &tokio::task::LocalSet) -> Rc<Rollouts> {
    let _guard = tasks.enter();
    let own = SocketAddr::from(([127, 0, 0, 1], 1));
    let events = Rc::new(EventLog::new(Arc::from("test"), spdlog::default_logger()));
    let options = MeshOptions {
        address: own,
        data_centre: "here".parse().expect("a name"),
        tuning: Tuning {
            byte_cost: 0.0,
            decisions: marigold_dispatch::Decisions::default(),
            retry_ratio: 1.0,
            retry_slack: 0.0,
            retry_window: Duration::from_secs(10),
        },
        memory: marigold_sidecar::MemoryBudget::unlimited(),
    };
    let crashes = CrashTracker::new(own, 0, events.clone());
    let mesh = Mesh::new(
        &options,
        SmallRng::seed_from_u64(1),
        crashes,
        events.clone(),
    );
    mesh.update_directory(|directory| {
        directory.put(Site {
            address: own,
            data_centre: options.data_centre.clone(),
            service: service("other"),
            version: None,
            slots: SlotCount(1),
            link: LinkRate(1),
            leaving: None,
        });
    });
    let rollouts = Rollouts::new(RolloutParts {
        store: store.clone(),
        format: Rc::new(TextFormat),
        own,
        mesh,
        server: Weak::new(),
        events,
    });
    rollouts.set_reader(true);
    rollouts.start();
    rollouts
}

fn unix_now() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("after the epoch")
}
