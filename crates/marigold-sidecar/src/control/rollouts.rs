//! Roll-outs: orders from the operator, states in the store, and the decisions in between. See
//! docs/design/rollouts.md.

mod decider;
mod known_rollout;
mod known_rollouts;
mod status_reader;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use marigold_dispatch::{RolloutJudge, RolloutOrder, RolloutStatus, VersionCounts};
use marigold_log::{KeyedRecord, KeyedStore, StoreEra, StorePosition};
use marigold_types::ServiceName;
use tokio::time::Instant;

use self::known_rollout::KnownRollout;
use self::known_rollouts::{KnownRollouts, OrderChange, OrderSource};
use super::rollout_format::RolloutFormat;
use super::store_history::StoreHistory;
use crate::events::{EventLog, Severity};
use crate::ingress::{Mesh, RolloutListener};
use crate::link::{LinkServer, RolloutEntry, RolloutUpdate};

/// Dependencies of [`Rollouts`].
pub struct RolloutParts {
    /// Client of the platform's store.
    pub store: Rc<dyn KeyedStore>,
    /// Format of orders and states.
    pub format: Rc<dyn RolloutFormat>,
    /// Address at which this daemon accepts calls from other daemons.
    pub own: SocketAddr,
    /// Applies roll-outs to requests, and holds the directory of daemons.
    pub mesh: Rc<Mesh>,
    /// Sends roll-outs to the followers of this daemon.
    pub server: Weak<LinkServer>,
    /// Log of state changes.
    pub events: Rc<EventLog>,
}

/// The latest roll-out of each service.
pub struct Rollouts {
    parts: RolloutParts,
    known: RefCell<KnownRollouts>,
    /// Position of the next change of the states, or `None` to read all of them.
    position: Cell<Option<StorePosition>>,
    /// Whether the store may have lost states that are known here.
    has_lost_states: Cell<bool>,
    /// Whether another daemon has told of an order that only a read of the store can judge.
    has_doubtful_order: Cell<bool>,
    /// When the states were last known to be the newest.
    confirmed_at: Cell<Option<Instant>>,
    /// Whether this daemon reads the store for its data centre.
    is_reader: Cell<bool>,
    judges: RefCell<BTreeMap<ServiceName, RolloutJudge>>,
    /// Services whose status is being written.
    writing: RefCell<BTreeSet<ServiceName>>,
    myself: Weak<Self>,
}

impl Rollouts {
    /// Creates an empty set of roll-outs.
    #[must_use]
    pub fn new(parts: RolloutParts) -> Rc<Self> {
        Rc::new_cyclic(|myself| Self {
            parts,
            known: RefCell::default(),
            position: Cell::new(None),
            has_lost_states: Cell::new(false),
            has_doubtful_order: Cell::new(false),
            confirmed_at: Cell::new(None),
            is_reader: Cell::new(false),
            judges: RefCell::default(),
            writing: RefCell::default(),
            myself: myself.clone(),
        })
    }

    /// Spawns the tasks that read states and decide, on the current local task set.
    pub fn start(self: &Rc<Self>) {
        self.parts.mesh.set_rollout_listener(self.clone());
        tokio::task::spawn_local(self.clone().read_states());
        tokio::task::spawn_local(self.clone().decide());
    }

    /// Sets whether this daemon reads the store for its data centre.
    pub fn set_reader(&self, is_reader: bool) {
        self.is_reader.set(is_reader);
    }

    /// Returns whether the store has to be read to judge an order that another daemon told of.
    #[must_use]
    pub fn has_doubtful_order(&self) -> bool {
        self.has_doubtful_order.get()
    }

    /// Applies orders among records of the configuration's table, in the history `era` of the store. `is_whole` says that
    /// the whole table was read, so that the orders may be old.
    pub fn apply_orders(&self, records: &[KeyedRecord], era: Option<StoreEra>, is_whole: bool) {
        let mut has_changed = false;
        self.has_doubtful_order.set(false);
        if self.known.borrow_mut().set_history(StoreHistory(era)) {
            self.has_lost_states.set(true);
        }
        let source = if is_whole {
            OrderSource::Table
        } else {
            OrderSource::Changes
        };
        for record in records {
            let Some(value) = &record.value else {
                continue;
            };
            if !self.parts.format.is_order(&record.key) {
                continue;
            }
            match self.parts.format.decode_order(&record.key, value) {
                Ok(terms) => {
                    let order = RolloutOrder {
                        id: record.offset,
                        service: terms.service,
                        target: terms.target,
                        duration: terms.duration,
                    };
                    has_changed |= self.apply_order(&order, Instant::now(), !is_whole, source);
                }
                Err(error) => {
                    let fields = [
                        ("key", record.key.as_ref().into()),
                        ("cause", error.to_string().into()),
                    ];
                    let event = "rollout_order_refused";
                    self.parts.events.emit(event, Severity::Warn, &fields);
                }
            }
        }
        if has_changed {
            self.notify_followers(true);
        }
    }

    /// Applies an order; returns whether anything has changed. `is_exact` says that `ordered_at` is not just the time at which
    /// this daemon heard of it.
    fn apply_order(
        &self,
        order: &RolloutOrder,
        ordered_at: Instant,
        is_exact: bool,
        source: OrderSource,
    ) -> bool {
        let mut known = self.known.borrow_mut();
        let change = known.apply_order(order, ordered_at, is_exact, source);
        drop(known);
        let event = match change {
            OrderChange::None => {
                self.update_gate(&order.service);
                return false;
            }
            OrderChange::Doubtful => {
                self.has_doubtful_order.set(true);
                return false;
            }
            OrderChange::New => "rollout_ordered",
            OrderChange::Renumbered => {
                if let Some(judge) = self.judges.borrow_mut().get_mut(&order.service) {
                    judge.set_order_id(order.id);
                }
                self.has_lost_states.set(true);
                "rollout_renumbered"
            }
        };
        let fields = [
            ("service", order.service.to_string().into()),
            ("target", order.target.to_string().into()),
            ("order", order.id.0.into()),
            ("duration_s", order.duration.as_secs_f64().into()),
        ];
        self.parts.events.emit(event, Severity::Info, &fields);
        self.update_gate(&order.service);
        true
    }

    /// Applies a status; returns whether it is new.
    fn apply_status(&self, service: &ServiceName, status: &RolloutStatus) -> bool {
        let mut known = self.known.borrow_mut();
        let Some(rollout) = known.get_mut(service) else {
            return false;
        };
        let is_new = rollout.apply_status(status, unix_millis(), Instant::now());
        drop(known);
        if is_new {
            let fields = [
                ("service", service.to_string().into()),
                ("target", status.target.to_string().into()),
                ("state", status.state.to_string().into()),
            ];
            let event = "rollout_state_changed";
            self.parts.events.emit(event, Severity::Info, &fields);
        }
        self.update_gate(service);
        is_new
    }

    fn confirm(&self, at: Option<Instant>) {
        self.confirmed_at.set(self.confirmed_at.get().max(at));
        let known = self.known.borrow();
        let services: Vec<_> = known
            .all()
            .map(|rollout| rollout.order.service.clone())
            .collect();
        drop(known);
        for service in services {
            self.update_gate(&service);
        }
    }

    fn update_gate(&self, service: &ServiceName) {
        let known = self.known.borrow();
        if let Some(rollout) = known.get(service) {
            let status = rollout.status.as_ref();
            let confirmed_at = self.confirmed_at.get();
            let mesh = &self.parts.mesh;
            mesh.apply_rollout(&rollout.order, rollout.ordered_at, status, confirmed_at);
        }
    }

    /// Returns whether any roll-out is not decided.
    fn is_any_open(&self) -> bool {
        self.known.borrow().all().any(KnownRollout::is_open)
    }

    /// Returns the roll-outs for a follower: all of them, or none if all are decided.
    #[must_use]
    pub fn update(&self, all: bool) -> Option<RolloutUpdate> {
        let known = self.known.borrow();
        if known.is_empty() || !(all || known.all().any(KnownRollout::is_open)) {
            return None;
        }
        let entry = |rollout: &KnownRollout| RolloutEntry {
            order: rollout.order.clone(),
            age: rollout.ordered_at.elapsed(),
            status: rollout.status.clone(),
        };
        Some(RolloutUpdate {
            rollouts: known.all().map(entry).collect(),
            status_age: self.confirmed_at.get().map(|at| at.elapsed()),
        })
    }

    /// Sends the roll-outs to followers: all of them, or none if all are decided.
    pub fn notify_followers(&self, all: bool) {
        if let (Some(server), Some(update)) = (self.parts.server.upgrade(), self.update(all)) {
            server.notify_rollouts(&update);
        }
    }
}

impl RolloutListener for Rollouts {
    fn on_rollouts(&self, update: &RolloutUpdate) {
        let now = Instant::now();
        let mut has_changed = false;
        for entry in &update.rollouts {
            let ordered_at = now.checked_sub(entry.age).unwrap_or(now);
            has_changed |= self.apply_order(&entry.order, ordered_at, true, OrderSource::Daemon);
            if let Some(status) = &entry.status {
                has_changed |= self.apply_status(&entry.order.service, status);
            }
        }
        let confirmed_at = update.status_age.and_then(|age| now.checked_sub(age));
        self.confirm(confirmed_at);
        if has_changed {
            self.notify_followers(true);
        }
    }

    fn on_counts(&self, from: SocketAddr, counts: VersionCounts) {
        if let Some(judge) = self.judges.borrow_mut().get_mut(&counts.service) {
            judge.update(from, counts, Instant::now());
        }
    }
}

/// Returns the time since the Unix epoch in milliseconds, by the instance's clock.
fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.unwrap_or(Duration::ZERO).as_millis();
    u64::try_from(millis).unwrap_or(u64::MAX)
}
