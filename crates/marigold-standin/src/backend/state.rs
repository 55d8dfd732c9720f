//! State shared by the tasks of one stand-in.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;
use tokio::time::Instant;

use super::egress::Egress;
use super::faults::BackendFaults;
use super::health::{HealthReport, HealthReporter};
use super::{BackendControl, BackendPlan, RunCounter, RunReport};

/// The state of one stand-in. The counters survive a crash, as if an observer outside the process kept
/// them.
pub struct BackendState {
    plan: BackendPlan,
    started: Mutex<Instant>,
    faults: Mutex<BackendFaults>,
    health: Mutex<HealthReporter>,
    runs: Mutex<RunCounter>,
    rng: Mutex<ChaCha8Rng>,
    egress: Option<Egress>,
    busy: AtomicU32,
    connections: AtomicU64,
    last_arrival: Mutex<Option<Instant>>,
    arrivals: AtomicU64,
    shed: AtomicU64,
    cancelled: AtomicU64,
    crashes: watch::Sender<u64>,
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
            last_arrival: Mutex::default(),
            arrivals: AtomicU64::new(0),
            shed: AtomicU64::new(0),
            cancelled: AtomicU64::new(0),
            crashes: watch::Sender::new(0),
            plan,
        }
    }

    /// Returns the configuration of the stand-in.
    #[must_use]
    pub fn plan(&self) -> &BackendPlan {
        &self.plan
    }

    /// Injects or clears faults.
    pub fn control(&self, order: &BackendControl) {
        let next_connection = self.connections.load(Ordering::Relaxed);
        lock(&self.faults).apply(order, next_connection);
    }

    /// Reports the runs whose `Load-Id` starts with `prefix`.
    #[must_use]
    pub fn report(&self, prefix: &str) -> RunReport {
        lock(&self.runs).report(prefix)
    }

    /// Resets the run counts.
    pub fn forget_runs(&self) {
        lock(&self.runs).clear();
    }

    /// Returns the number of requests refused because no slot was free, or while draining or in cold start.
    #[must_use]
    pub fn shed(&self) -> u64 {
        self.shed.load(Ordering::Relaxed)
    }

    /// Returns the time at which the last request to run arrived, whether it was shed or not.
    #[must_use]
    pub fn last_arrival(&self) -> Option<Instant> {
        *lock(&self.last_arrival)
    }

    /// Returns the number of requests to run that arrived, including shed ones.
    #[must_use]
    pub fn arrivals(&self) -> u64 {
        self.arrivals.load(Ordering::Relaxed)
    }

    /// Returns the number of crashes.
    #[must_use]
    pub fn crash_count(&self) -> u64 {
        *self.crashes.borrow()
    }

    /// Returns the number of requests that were cancelled while they ran.
    #[must_use]
    pub fn cancelled(&self) -> u64 {
        self.cancelled.load(Ordering::Relaxed)
    }

    /// Simulates a crash: every connection is aborted and the listener closes.
    pub fn crash(&self) {
        self.crashes.send_modify(|count| *count += 1);
    }

    pub(super) fn subscribe_crashes(&self) -> watch::Receiver<u64> {
        self.crashes.subscribe()
    }

    pub(super) fn restart(&self) {
        *lock(&self.started) = Instant::now();
    }

    pub(super) fn open_connection(&self) -> u64 {
        self.connections.fetch_add(1, Ordering::Relaxed)
    }

    pub(super) fn is_silent(&self, connection: u64) -> bool {
        connection < lock(&self.faults).silent_below
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
        let actual = HealthReport {
            ready: !draining && !self.is_in_cold_start(),
            busy: self.busy.load(Ordering::Relaxed),
            slots: slots.0,
        };
        lock(&self.health).report(mode, actual, Instant::now())
    }

    /// Counts the arrival of a request, and acquires a slot or counts the request as shed. Returns whether
    /// a slot was acquired.
    pub(super) fn acquire_slot(&self) -> bool {
        *lock(&self.last_arrival) = Some(Instant::now());
        self.arrivals.fetch_add(1, Ordering::Relaxed);
        let (slots, draining) = {
            let faults = lock(&self.faults);
            (faults.slots.0, faults.draining)
        };
        let refused = draining || self.is_in_cold_start();
        let acquire = |busy| (busy < slots && !refused).then_some(busy + 1);
        let acquired = self
            .busy
            .try_update(Ordering::AcqRel, Ordering::Acquire, acquire)
            .is_ok();
        if !acquired {
            self.shed.fetch_add(1, Ordering::Relaxed);
        }
        acquired
    }

    pub(super) fn release_slot(&self) {
        self.busy.fetch_sub(1, Ordering::AcqRel);
    }

    pub(super) fn count_run(&self, load: Option<&str>, request: Option<&str>) {
        lock(&self.runs).count(load, request);
    }

    pub(super) fn count_cancelled(&self) {
        self.cancelled.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn draw_service_time(&self) -> Duration {
        let added_delay = lock(&self.faults).added_delay;
        added_delay + self.plan.time.draw(&mut lock(&self.rng))
    }

    fn is_in_cold_start(&self) -> bool {
        lock(&self.started).elapsed() < self.plan.cold_start.duration()
    }
}

/// Locks `mutex`. Every holder leaves the value consistent, so a poisoned lock can be used.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
