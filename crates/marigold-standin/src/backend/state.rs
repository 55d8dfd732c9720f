//! What the parts of one stand-in share.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;
use tokio::time::Instant;

use super::egress::Egress;
use super::faults::BackendFaults;
use super::health::{HealthBoard, HealthReport};
use super::{BackendControl, BackendPlan, RunCounter, RunReport};

/// The state of one stand-in; its counts outlive a crash, as an observer's would.
pub struct BackendState {
    plan: BackendPlan,
    started: Mutex<Instant>,
    faults: Mutex<BackendFaults>,
    health: Mutex<HealthBoard>,
    runs: Mutex<RunCounter>,
    rng: Mutex<ChaCha8Rng>,
    egress: Option<Egress>,
    busy: AtomicU32,
    connections: AtomicU64,
    arrived: Mutex<Option<Instant>>,
    arrivals: AtomicU64,
    shed: AtomicU64,
    cancelled: AtomicU64,
    crash: watch::Sender<u64>,
}

impl BackendState {
    pub(super) fn new(plan: BackendPlan) -> Self {
        Self {
            started: Mutex::new(Instant::now()),
            faults: Mutex::new(BackendFaults::new(&plan)),
            health: Mutex::default(),
            runs: Mutex::default(),
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(plan.seed)),
            egress: plan.egress.map(Egress::new),
            busy: AtomicU32::new(0),
            connections: AtomicU64::new(0),
            arrived: Mutex::default(),
            arrivals: AtomicU64::new(0),
            shed: AtomicU64::new(0),
            cancelled: AtomicU64::new(0),
            crash: watch::Sender::new(0),
            plan,
        }
    }

    /// Returns what it was started with.
    #[must_use]
    pub fn plan(&self) -> &BackendPlan {
        &self.plan
    }

    /// Makes or mends misbehaviour.
    pub fn control(&self, order: &BackendControl) {
        let next = self.connections.load(Ordering::Relaxed);
        lock(&self.faults).apply(order, next);
    }

    /// Reports the runs whose `Load-Id` starts with `prefix`.
    #[must_use]
    pub fn report(&self, prefix: &str) -> RunReport {
        lock(&self.runs).report(prefix)
    }

    /// Forgets the runs counted so far.
    pub fn forget_runs(&self) {
        lock(&self.runs).clear();
    }

    /// Returns the requests that were refused because every slot was busy or none is given.
    #[must_use]
    pub fn shed(&self) -> u64 {
        self.shed.load(Ordering::Relaxed)
    }

    /// Returns when the last request for work came, whether it was shed or not.
    #[must_use]
    pub fn last_arrival(&self) -> Option<Instant> {
        *lock(&self.arrived)
    }

    /// Returns how many requests for work came, shed ones included.
    #[must_use]
    pub fn arrivals(&self) -> u64 {
        self.arrivals.load(Ordering::Relaxed)
    }

    /// Returns how often it crashed.
    #[must_use]
    pub fn crash_count(&self) -> u64 {
        *self.crash.borrow()
    }

    /// Returns the requests that were given up while they ran.
    #[must_use]
    pub fn cancelled(&self) -> u64 {
        self.cancelled.load(Ordering::Relaxed)
    }

    /// Crashes: every connection is cut and the listener closes.
    pub fn crash(&self) {
        self.crash.send_modify(|count| *count += 1);
    }

    pub(super) fn crashes(&self) -> watch::Receiver<u64> {
        self.crash.subscribe()
    }

    pub(super) fn restart(&self) {
        *lock(&self.started) = Instant::now();
    }

    pub(super) fn open_connection(&self) -> u64 {
        self.connections.fetch_add(1, Ordering::Relaxed)
    }

    pub(super) fn is_silent(&self, connection: u64) -> bool {
        connection < lock(&self.faults).silent
    }

    pub(super) fn is_failing(&self) -> bool {
        lock(&self.faults).failing
    }

    pub(super) fn egress(&self) -> Option<&Egress> {
        self.egress.as_ref()
    }

    pub(super) fn health(&self) -> HealthReport {
        let (mode, slots, draining) = {
            let faults = lock(&self.faults);
            (faults.health, faults.slots, faults.draining)
        };
        let truth = HealthReport {
            ready: !draining && !self.is_cold(),
            busy: self.busy.load(Ordering::Relaxed),
            slots: slots.0,
        };
        lock(&self.health).report(mode, truth, Instant::now())
    }

    /// Takes a slot, or counts the request as shed.
    pub(super) fn take_slot(&self) -> bool {
        *lock(&self.arrived) = Some(Instant::now());
        self.arrivals.fetch_add(1, Ordering::Relaxed);
        let (slots, draining) = {
            let faults = lock(&self.faults);
            (faults.slots.0, faults.draining)
        };
        let refused = draining || self.is_cold();
        let take = |busy| (busy < slots && !refused).then_some(busy + 1);
        let taken = self
            .busy
            .try_update(Ordering::AcqRel, Ordering::Acquire, take)
            .is_ok();
        if !taken {
            self.shed.fetch_add(1, Ordering::Relaxed);
        }
        taken
    }

    pub(super) fn free_slot(&self) {
        self.busy.fetch_sub(1, Ordering::AcqRel);
    }

    pub(super) fn count_run(&self, load: Option<&str>, request: Option<&str>) {
        lock(&self.runs).count(load, request);
    }

    pub(super) fn count_cancelled(&self) {
        self.cancelled.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn draw_time(&self) -> Duration {
        let extra = lock(&self.faults).extra;
        extra + self.plan.time.draw(&mut lock(&self.rng))
    }

    fn is_cold(&self) -> bool {
        lock(&self.started).elapsed() < self.plan.cold_start.duration()
    }
}

/// What the locks guard is whole between calls, so that a poisoned lock does no harm.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
