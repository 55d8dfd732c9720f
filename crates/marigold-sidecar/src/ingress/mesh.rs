//! The executors known to an ingress, the links to them, and retry budgets.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use marigold_dispatch::{
    AttemptOutcome, CallKind, CallerReturn, CallerReturns, Decisions, Directory, ExecutorChoice,
    LinkSelector, Placement, PlacementRequest, Precedence, Reached, RefusedAttempt, RequestMark,
    RetryBudget, RetryRequest, SiteReport, SlackShare, VersionGate, select_trial_executor,
};
use marigold_request::quarantine::Fingerprint;
use marigold_types::{DataCentre, ServiceName};
use rand::rngs::SmallRng;
use tokio::time::{Instant, sleep};

use super::quotas::Quotas;
use super::rollout_routing::RolloutListener;
use crate::events::{EventLog, Severity};
use crate::link::{
    BodyHandover, Call, Follow, LinkClient, LinkEvent, LinkMemory, OpenCall, Reply, SendQueueFull,
    StoreUpdate,
};
use crate::{CrashTracker, MemoryBudget};

/// Delay before unreachable executors are replaced, since an outage of an instance or a data centre makes
/// many executors unreachable at the same time.
const RELINK_DELAY: Duration = Duration::from_millis(50);

/// Options of a [`Mesh`].
#[derive(Debug, Clone)]
pub struct MeshOptions {
    /// Address at which this daemon accepts calls from other daemons.
    pub address: SocketAddr,
    /// Data centre of this daemon's instance.
    pub data_centre: DataCentre,
    /// Settings that can change at run time.
    pub tuning: Tuning,
    /// The budget that replies count towards.
    pub memory: Rc<MemoryBudget>,
}

/// Settings of a [`Mesh`] that take effect immediately when they change.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tuning {
    /// Cost of sending one KiB between data centres, as a fraction of the value of a response of the most
    /// urgent rank.
    pub byte_cost: f64,
    /// The ways in which executors are compared.
    pub decisions: Decisions,
    /// Retries allowed per request for a service.
    pub retry_ratio: f64,
    /// Retries allowed in addition, for all daemons together in one window.
    pub retry_slack: f64,
    /// Sliding window over which requests and retries are counted.
    pub retry_window: Duration,
}

/// Exchanges the contents of the store with the daemons that this one is linked to.
pub trait StoreUpdateListener {
    /// Handles an update from the daemon at `from`.
    fn on_update(&self, from: SocketAddr, update: StoreUpdate);

    /// Returns what a follower that sent `follow` does not have yet.
    fn updates_for(&self, follow: Follow) -> StoreUpdate;
}

/// Selects executors for requests and sends calls to them.
pub struct Mesh {
    /// Requests that crash backend servers.
    pub crashes: Rc<CrashTracker>,
    /// The quotas of workspaces.
    pub quotas: Rc<Quotas>,
    pub(super) data_centre: DataCentre,
    address: SocketAddr,
    memory: Rc<MemoryBudget>,
    /// Takes large bodies of calls to this daemon itself.
    handover: RefCell<Option<Rc<BodyHandover>>>,
    tuning: Cell<Tuning>,
    events: Rc<EventLog>,
    link_selector: LinkSelector,
    /// Whether a replacement of unreachable executors is scheduled.
    is_relink_scheduled: Cell<bool>,
    pub(super) directory: RefCell<Directory>,
    pub(super) placement: RefCell<Placement>,
    links: RefCell<HashMap<SocketAddr, LinkClient>>,
    retry_budgets: RefCell<HashMap<ServiceName, RetryBudget>>,
    slack_share: RefCell<SlackShare>,
    caller_returns: RefCell<CallerReturns>,
    pub(super) rng: RefCell<SmallRng>,
    update_listener: RefCell<Option<Rc<dyn StoreUpdateListener>>>,
    pub(super) rollout_listener: RefCell<Option<Rc<dyn RolloutListener>>>,
    pub(super) version_gate: RefCell<VersionGate>,
    myself: Weak<Self>,
}

impl Mesh {
    /// Creates a mesh with an empty directory.
    #[must_use]
    pub fn new(
        options: &MeshOptions,
        rng: SmallRng,
        crashes: Rc<CrashTracker>,
        events: Rc<EventLog>,
    ) -> Rc<Self> {
        let mut placement = Placement::new(options.data_centre.clone(), options.tuning.byte_cost);
        placement.set_decisions(options.tuning.decisions);
        let link_selector = LinkSelector::new(options.address, options.data_centre.clone());
        Rc::new_cyclic(|myself: &Weak<Self>| Self {
            crashes,
            quotas: Quotas::new(options.address, events.clone(), {
                let mesh = myself.clone();
                Box::new(move |home, ask| {
                    let mesh = mesh.upgrade();
                    mesh.is_some_and(|mesh| mesh.link(home).ask_quota(ask))
                })
            }),
            data_centre: options.data_centre.clone(),
            address: options.address,
            memory: options.memory.clone(),
            handover: RefCell::default(),
            tuning: Cell::new(options.tuning),
            events,
            link_selector,
            is_relink_scheduled: Cell::new(false),
            directory: RefCell::default(),
            placement: RefCell::new(placement),
            links: RefCell::default(),
            retry_budgets: RefCell::default(),
            slack_share: RefCell::new(SlackShare::new(options.tuning.retry_window)),
            caller_returns: RefCell::default(),
            rng: RefCell::new(rng),
            update_listener: RefCell::default(),
            rollout_listener: RefCell::default(),
            version_gate: RefCell::default(),
            myself: myself.clone(),
        })
    }

    /// Applies changed settings. Requests and retries counted so far remain counted.
    pub fn tune(&self, tuning: Tuning) {
        let previous = self.tuning.replace(tuning);
        let mut placement = self.placement.borrow_mut();
        placement.set_byte_cost(tuning.byte_cost);
        placement.set_decisions(tuning.decisions);
        drop(placement);
        self.slack_share
            .borrow_mut()
            .set_window(tuning.retry_window);
        let is_same = (previous.retry_window, previous.retry_ratio)
            == (tuning.retry_window, tuning.retry_ratio);
        if !is_same {
            for budget in self.retry_budgets.borrow_mut().values_mut() {
                budget.set_limits(tuning.retry_window, tuning.retry_ratio);
            }
        }
    }

    /// Changes the directory and closes links to executors that are no longer in it. Calls that are open there still end
    /// with their outcome.
    pub fn update_directory(&self, change: impl FnOnce(&mut Directory)) {
        let mut directory = self.directory.borrow_mut();
        let before = directory.generation();
        change(&mut directory);
        if directory.generation() == before {
            return;
        }
        let addresses = directory.all().map(|site| site.address);
        self.quotas.set_daemons(addresses.collect());
        let count = directory.len();
        self.version_gate
            .borrow_mut()
            .observe(&directory, Instant::now());
        self.slack_share
            .borrow_mut()
            .record_daemons(count, Instant::now());
        self.placement.borrow_mut().retain(&directory);
        self.links.borrow_mut().retain(|address, link| {
            let is_listed = directory.get(*address).is_some();
            if !is_listed {
                link.close();
            }
            is_listed
        });
        drop(directory);
        self.relink();
    }

    /// Opens links to the executors that requests may go to, so that an unreachable executor is detected
    /// before a request depends on it.
    fn relink(&self) {
        let chosen = {
            let placement = self.placement.borrow();
            let is_unreachable = |address| placement.is_unreachable(address);
            self.link_selector
                .choose(&self.directory.borrow(), is_unreachable)
        };
        for address in chosen {
            self.link(address);
        }
    }

    /// Schedules a replacement of unreachable executors.
    fn relink_soon(&self) {
        if self.is_relink_scheduled.replace(true) {
            return;
        }
        let mesh = self.myself.clone();
        tokio::task::spawn_local(async move {
            sleep(RELINK_DELAY).await;
            if let Some(mesh) = mesh.upgrade() {
                mesh.is_relink_scheduled.set(false);
                mesh.relink();
            }
        });
    }

    /// Calls `get` with the directory of daemons.
    pub fn with_directory<T>(&self, get: impl FnOnce(&Directory) -> T) -> T {
        get(&self.directory.borrow())
    }

    /// Calls `change` with the observed state of executors.
    pub fn with_placement<T>(&self, change: impl FnOnce(&mut Placement) -> T) -> T {
        change(&mut self.placement.borrow_mut())
    }

    /// Sets where large bodies of calls to this daemon itself are left. It has to be set before the first call.
    pub fn set_handover(&self, handover: Rc<BodyHandover>) {
        *self.handover.borrow_mut() = Some(handover);
    }

    /// Sets the handler of store updates.
    pub fn set_update_listener(&self, listener: Rc<dyn StoreUpdateListener>) {
        *self.update_listener.borrow_mut() = Some(listener);
    }

    /// Subscribes to store updates of the daemon at `address`.
    pub fn follow(&self, address: SocketAddr, follow: Follow) {
        self.link(address).follow(follow);
    }

    /// Selects an executor of a version that may run the request, or `None` if no eligible one is left.
    #[must_use]
    pub fn choose(&self, wanted: &PlacementRequest<'_>) -> Option<ExecutorChoice> {
        let now = Instant::now();
        let is_first = wanted.tried.is_empty();
        let rule = self.version_rule(wanted.service, is_first, wanted.idempotent, now);
        if let Some(choice) = self.choose_canary(wanted.service, &rule, now) {
            return Some(choice);
        }
        let versions = rule.filter();
        self.placement.borrow_mut().choose(
            &self.directory.borrow(),
            &PlacementRequest {
                versions,
                ..*wanted
            },
            &mut *self.rng.borrow_mut(),
            now,
        )
    }

    /// Selects the executor for a request that is suspected of crashing backend servers, or `None` if no
    /// eligible one is left.
    #[must_use]
    pub fn choose_for_trial(
        &self,
        service: &ServiceName,
        fingerprint: &Fingerprint,
        tried: &[SocketAddr],
    ) -> Option<ExecutorChoice> {
        let now = Instant::now();
        let rule = self.version_rule(service, false, true, now);
        let placement = self.placement.borrow();
        let directory = self.directory.borrow();
        let is_admitted = |address| {
            let site = directory.get(address);
            site.is_some_and(|site| rule.filter().admits(site.version.as_ref()))
        };
        let is_eligible = |address| {
            placement.accepts(address, service, now)
                && !tried.contains(&address)
                && is_admitted(address)
        };
        let address = select_trial_executor(&directory, service, fingerprint, is_eligible)?;
        Some(ExecutorChoice::regardless_of_load(address))
    }

    /// Returns whether at least half of the executors of `service` take calls. Otherwise those that do say little about
    /// when a request can run: after a pause or a cut of this daemon, the others are back within moments.
    #[must_use]
    pub fn has_majority(&self, service: &ServiceName) -> bool {
        let now = Instant::now();
        let placement = self.placement.borrow();
        let directory = self.directory.borrow();
        let (mut all, mut accepting) = (0, 0);
        for site in directory.of(service) {
            all += 1;
            accepting += usize::from(placement.accepts(site.address, service, now));
        }
        accepting * 2 >= all
    }

    /// Sends a call to the executor at `address`.
    ///
    /// # Errors
    ///
    /// If the send queue of its link is full.
    pub fn send(&self, address: SocketAddr, call: Call) -> Result<OpenCall, SendQueueFull> {
        let link = self.link(address);
        let call = link.call(call)?;
        let now = Instant::now();
        self.placement
            .borrow_mut()
            .executor_mut(address, now)
            .call_started(now);
        Ok(call)
    }

    /// Records that a call is no longer in flight, whatever its outcome.
    pub fn call_ended(&self, address: SocketAddr) {
        let now = Instant::now();
        self.placement
            .borrow_mut()
            .executor_mut(address, now)
            .call_ended();
    }

    /// Updates the observed state of an executor from its reply to a call of `kind`.
    pub fn record_outcome(
        &self,
        address: SocketAddr,
        kind: &CallKind,
        end: AttemptOutcome,
        reply: &Reply,
    ) {
        let now = Instant::now();
        self.apply_report(address, reply.site.clone());
        let mut placement = self.placement.borrow_mut();
        placement.record_outcome(&self.directory.borrow(), address, end, now);
        if end == AttemptOutcome::Served {
            placement.record_run(address, kind, reply.ran, reply.body.len(), now);
        }
    }

    /// Records how long a request of `class` waited at the executor of `choice` until it had a slot.
    pub fn record_wait(
        &self,
        choice: &ExecutorChoice,
        class: (&CallKind, Precedence),
        wait: Duration,
    ) {
        self.with_placement(|placement| placement.record_wait(choice, class, wait));
    }

    /// Counts a request for `service`, which earns retries for its budget. Returns its earlier attempts, if this daemon has
    /// seen them.
    pub fn count_request(
        &self,
        service: &ServiceName,
        kind: &CallKind,
        mark: RequestMark,
        deadline: Instant,
    ) -> Option<CallerReturn> {
        let mut callers = self.caller_returns.borrow_mut();
        let found = callers.take_return(kind, mark, deadline);
        let origin = callers.origin(kind);
        drop(callers);
        self.with_budget(service, |budget, now| budget.record_request(origin, now));
        found
    }

    /// Records a refused attempt, whose caller may come back.
    pub fn record_refusal(&self, kind: &CallKind, refused: RefusedAttempt) {
        self.caller_returns
            .borrow_mut()
            .record_refusal(kind, refused);
    }

    /// Takes one retry from the budget of `service`; returns whether there was one.
    pub fn try_spend_retry(&self, service: &ServiceName, request: RetryRequest) -> bool {
        let slack = self.tuning.get().retry_slack;
        let slack = self.slack_share.borrow().of(slack, Instant::now());
        let granted =
            self.with_budget(service, |budget, now| budget.try_spend(slack, request, now));
        let granted_label = if granted { "yes" } else { "no" };
        metrics::counter!("marigold_repeats_total", "granted" => granted_label).increment(1);
        granted
    }

    fn with_budget<T>(
        &self,
        service: &ServiceName,
        change: impl FnOnce(&mut RetryBudget, Instant) -> T,
    ) -> T {
        let tuning = self.tuning.get();
        let mut budgets = self.retry_budgets.borrow_mut();
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(tuning.retry_window, tuning.retry_ratio));
        change(budget, Instant::now())
    }

    pub(super) fn link(&self, address: SocketAddr) -> LinkClient {
        let start = || {
            let mesh = self.myself.clone();
            let listener = Rc::new(move |from, event| {
                if let Some(mesh) = mesh.upgrade() {
                    mesh.handle_event(from, event);
                }
            });
            let handover = self.handover.borrow().clone();
            let memory = LinkMemory {
                budget: self.memory.clone(),
                handover: handover.filter(|_| address == self.address),
            };
            LinkClient::start(address, listener, memory)
        };
        let mut links = self.links.borrow_mut();
        links.entry(address).or_insert_with(start).clone()
    }

    fn apply_report(&self, from: SocketAddr, report: SiteReport) {
        let now = Instant::now();
        let mut placement = self.placement.borrow_mut();
        let reached = placement.executor_mut(from, now).apply_report(report, now);
        drop(placement);
        match reached {
            // At a start there is one for each executor.
            Some(Reached::First) => self.log_link_event("link_up", Severity::Routine, from),
            Some(Reached::Again) => self.log_link_event("link_up", Severity::Info, from),
            None => {}
        }
    }

    fn log_link_event(&self, event: &'static str, severity: Severity, executor: SocketAddr) {
        let executor = executor.to_string().into();
        self.events.emit(event, severity, &[("executor", executor)]);
    }

    fn handle_event(&self, from: SocketAddr, event: LinkEvent) {
        let now = Instant::now();
        match event {
            LinkEvent::Report(report) => self.apply_report(from, report),
            LinkEvent::Unresponsive => {
                if self
                    .placement
                    .borrow_mut()
                    .executor_mut(from, now)
                    .mark_silent()
                {
                    self.log_link_event("link_silent", Severity::Warn, from);
                }
            }
            LinkEvent::Unreachable => {
                if self
                    .placement
                    .borrow_mut()
                    .executor_mut(from, now)
                    .mark_unreachable()
                {
                    self.log_link_event("link_lost", Severity::Warn, from);
                }
                self.relink_soon();
            }
            LinkEvent::Connected => self.quotas.on_connected(from),
            LinkEvent::Disconnected => self.quotas.on_unreachable(from, false),
            LinkEvent::Terminated => self.quotas.on_unreachable(from, true),
            LinkEvent::QuotaGrant(grant) => self.quotas.on_grant(from, &grant),
            LinkEvent::CrashRecords(records) => {
                // Within a data centre every daemon hears of a crash from the executor itself.
                let is_local = self.with_directory(|directory| {
                    let site = directory.get(from);
                    site.is_some_and(|site| site.data_centre == self.data_centre)
                });
                self.crashes.receive(&records, !is_local);
            }
            LinkEvent::StoreUpdate(update) => {
                let listener = self.update_listener.borrow().clone();
                if let Some(listener) = listener {
                    listener.on_update(from, *update);
                }
            }
            LinkEvent::Rollouts(update) => self.handle_rollouts(&update),
            LinkEvent::VersionCounts(counts) => self.handle_counts(from, counts),
            LinkEvent::FollowRequest(follow) => {
                let listener = self.update_listener.borrow().clone();
                if let Some(listener) = listener {
                    let update = listener.updates_for(follow);
                    self.link(from).send_update(update);
                }
            }
        }
    }
}
