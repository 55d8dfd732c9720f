//! The executors that an ingress knows, and its links to them.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use marigold_dispatch::{
    AttemptOutcome, CallKind, Directory, ExecutorChoice, LinkSelector, Placement, PlacementRequest,
    Reached, RetryBudget, SiteReport,
};
use marigold_types::{DataCentre, ServiceName};
use rand::rngs::SmallRng;
use tokio::time::{Instant, sleep};

use crate::events::{EventLog, Severity};
use crate::link::{Call, Follow, LinkClient, LinkEvent, OpenCall, Reply, StoreUpdate, Unsent};

/// The wait before lost executors are replaced: many are lost at once when an instance or a data centre
/// is.
const RELINK_PAUSE: Duration = Duration::from_millis(50);

/// How a mesh is bounded.
#[derive(Debug, Clone)]
pub struct MeshOptions {
    /// Where this daemon takes calls.
    pub address: SocketAddr,
    /// Where this ingress stands.
    pub data_centre: DataCentre,
    /// What may change while the daemon runs.
    pub tuning: Tuning,
}

/// The settings of a mesh that come into force at once when they change.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tuning {
    /// What a kibibyte between data centres costs, as a part of the value of the most urgent answer.
    pub byte_cost: f64,
    /// The repeats allowed for each request of a service.
    pub retry_ratio: f64,
    /// The repeats allowed beyond that, for all ingresses together.
    pub retry_slack: f64,
    /// The window in which repeats are counted.
    pub retry_window: Duration,
}

/// Exchanges news of the store with other daemons.
pub trait StoreUpdateListener {
    /// Takes news from the daemon at `from`.
    fn on_update(&self, from: SocketAddr, update: StoreUpdate);

    /// Returns what a daemon that holds this much does not have yet.
    fn updates_for(&self, follow: Follow) -> StoreUpdate;
}

/// Everything that placing a request needs.
pub struct Mesh {
    tuning: Cell<Tuning>,
    events: Rc<EventLog>,
    neighbours: LinkSelector,
    /// Whether lost executors are about to be replaced.
    relinks: Cell<bool>,
    directory: RefCell<Directory>,
    placement: RefCell<Placement>,
    links: RefCell<HashMap<SocketAddr, LinkClient>>,
    retries: RefCell<HashMap<ServiceName, RetryBudget>>,
    rng: RefCell<SmallRng>,
    update_listener: RefCell<Option<Rc<dyn StoreUpdateListener>>>,
    myself: Weak<Self>,
}

impl Mesh {
    /// Builds a mesh without executors.
    #[must_use]
    pub fn new(options: &MeshOptions, rng: SmallRng, events: Rc<EventLog>) -> Rc<Self> {
        let placement = Placement::new(options.data_centre.clone(), options.tuning.byte_cost);
        let neighbours = LinkSelector::new(options.address, options.data_centre.clone());
        Rc::new_cyclic(|myself| Self {
            tuning: Cell::new(options.tuning),
            events,
            neighbours,
            relinks: Cell::new(false),
            directory: RefCell::default(),
            placement: RefCell::new(placement),
            links: RefCell::default(),
            retries: RefCell::default(),
            rng: RefCell::new(rng),
            update_listener: RefCell::default(),
            myself: myself.clone(),
        })
    }

    /// Puts changed settings in force; repeats that were counted stay counted.
    pub fn tune(&self, tuning: Tuning) {
        let before = self.tuning.replace(tuning);
        self.placement.borrow_mut().set_byte_cost(tuning.byte_cost);
        let is_same =
            (before.retry_window, before.retry_ratio) == (tuning.retry_window, tuning.retry_ratio);
        if !is_same {
            for window in self.retries.borrow_mut().values_mut() {
                window.set_limits(tuning.retry_window, tuning.retry_ratio);
            }
        }
    }

    /// Changes the directory and forgets links to executors that have left it.
    pub fn update_directory(&self, change: impl FnOnce(&mut Directory)) {
        let mut directory = self.directory.borrow_mut();
        let before = directory.generation();
        change(&mut directory);
        if directory.generation() == before {
            return;
        }
        self.placement.borrow_mut().retain(&directory);
        self.links.borrow_mut().retain(|address, link| {
            let stays = directory.get(*address).is_some();
            if !stays {
                link.close();
            }
            stays
        });
        drop(directory);
        self.relink();
    }

    /// Opens links to the executors that requests may go to, since whether one answers is found out
    /// before a request depends on it.
    fn relink(&self) {
        let chosen = {
            let placement = self.placement.borrow();
            let is_lost = |address| placement.is_unreachable(address);
            self.neighbours.choose(&self.directory.borrow(), is_lost)
        };
        for address in chosen {
            self.link(address);
        }
    }

    /// Replaces executors that were lost, after a short time in which more of them may be.
    fn relink_soon(&self) {
        if self.relinks.replace(true) {
            return;
        }
        let mesh = self.myself.clone();
        tokio::task::spawn_local(async move {
            sleep(RELINK_PAUSE).await;
            if let Some(mesh) = mesh.upgrade() {
                mesh.relinks.set(false);
                mesh.relink();
            }
        });
    }

    /// Reads the directory.
    pub fn with_directory<T>(&self, get: impl FnOnce(&Directory) -> T) -> T {
        get(&self.directory.borrow())
    }

    /// Reads and changes what is known of executors.
    pub fn with_placement<T>(&self, change: impl FnOnce(&mut Placement) -> T) -> T {
        change(&mut self.placement.borrow_mut())
    }

    /// Sets who exchanges news of the store with other daemons.
    pub fn set_update_listener(&self, listener: Rc<dyn StoreUpdateListener>) {
        *self.update_listener.borrow_mut() = Some(listener);
    }

    /// Asks the daemon at `address` for news of the store.
    pub fn follow(&self, address: SocketAddr, follow: Follow) {
        self.link(address).follow(follow);
    }

    /// Chooses an executor.
    #[must_use]
    pub fn choose(&self, wanted: &PlacementRequest<'_>) -> Option<ExecutorChoice> {
        self.placement.borrow_mut().choose(
            &self.directory.borrow(),
            wanted,
            &mut *self.rng.borrow_mut(),
            Instant::now(),
        )
    }

    /// Sends a call to the executor at `address`.
    ///
    /// # Errors
    ///
    /// When too much waits to be written to it.
    pub fn send(&self, address: SocketAddr, call: Call) -> Result<OpenCall, Unsent> {
        let link = self.link(address);
        let call = link.call(call)?;
        let now = Instant::now();
        self.placement
            .borrow_mut()
            .executor_mut(address, now)
            .call_started(now);
        Ok(call)
    }

    /// Counts the end of a call, however it came about.
    pub fn call_ended(&self, address: SocketAddr) {
        let now = Instant::now();
        self.placement
            .borrow_mut()
            .executor_mut(address, now)
            .call_ended();
    }

    /// Learns from what became of a call of `kind`.
    pub fn record_outcome(
        &self,
        address: SocketAddr,
        kind: &CallKind,
        end: AttemptOutcome,
        reply: &Reply,
    ) {
        let now = Instant::now();
        self.reported(address, reply.site.clone());
        let mut placement = self.placement.borrow_mut();
        placement.record_outcome(&self.directory.borrow(), address, end, now);
        if end == AttemptOutcome::Served {
            placement.record_run(address, kind, reply.ran, reply.body.len(), now);
        }
    }

    /// Counts a request for `service`.
    pub fn count_request(&self, service: &ServiceName) {
        self.with_window(service, RetryBudget::record_request);
    }

    /// Takes one repeat for `service` if the budget has one.
    pub fn try_spend_retry(&self, service: &ServiceName) -> bool {
        let daemons = self.directory.borrow().len().max(1);
        let share = f64::from(u32::try_from(daemons).unwrap_or(u32::MAX));
        let slack = self.tuning.get().retry_slack / share;
        let granted = self.with_window(service, |window, now| window.try_spend(slack, now));
        let granted_label = if granted { "yes" } else { "no" };
        metrics::counter!("marigold_repeats_total", "granted" => granted_label).increment(1);
        granted
    }

    fn with_window<T>(
        &self,
        service: &ServiceName,
        change: impl FnOnce(&mut RetryBudget, Instant) -> T,
    ) -> T {
        let tuning = self.tuning.get();
        let mut retries = self.retries.borrow_mut();
        let window = retries
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(tuning.retry_window, tuning.retry_ratio));
        change(window, Instant::now())
    }

    fn link(&self, address: SocketAddr) -> LinkClient {
        let start = || {
            let mesh = self.myself.clone();
            let listener = Rc::new(move |from, event| {
                if let Some(mesh) = mesh.upgrade() {
                    mesh.handle_event(from, event);
                }
            });
            LinkClient::start(address, listener)
        };
        let mut links = self.links.borrow_mut();
        links.entry(address).or_insert_with(start).clone()
    }

    fn reported(&self, from: SocketAddr, report: SiteReport) {
        let now = Instant::now();
        let mut placement = self.placement.borrow_mut();
        let reached = placement.executor_mut(from, now).apply_report(report, now);
        drop(placement);
        match reached {
            // A start brings many of these.
            Some(Reached::First) => self.note("link_up", Severity::Routine, from),
            Some(Reached::Again) => self.note("link_up", Severity::Info, from),
            None => {}
        }
    }

    fn note(&self, event: &'static str, severity: Severity, executor: SocketAddr) {
        let executor = executor.to_string().into();
        self.events.emit(event, severity, &[("executor", executor)]);
    }

    fn handle_event(&self, from: SocketAddr, event: LinkEvent) {
        let now = Instant::now();
        match event {
            LinkEvent::Site(report) => self.reported(from, report),
            LinkEvent::Silent => {
                if self
                    .placement
                    .borrow_mut()
                    .executor_mut(from, now)
                    .mark_silent()
                {
                    self.note("link_silent", Severity::Warn, from);
                }
            }
            LinkEvent::Down => {
                if self
                    .placement
                    .borrow_mut()
                    .executor_mut(from, now)
                    .mark_unreachable()
                {
                    self.note("link_lost", Severity::Warn, from);
                }
                self.relink_soon();
            }
            LinkEvent::Store(update) => {
                let listener = self.update_listener.borrow().clone();
                if let Some(listener) = listener {
                    listener.on_update(from, *update);
                }
            }
            LinkEvent::Question(follow) => {
                let listener = self.update_listener.borrow().clone();
                if let Some(listener) = listener {
                    let update = listener.updates_for(follow);
                    self.link(from).send_update(update);
                }
            }
        }
    }
}
