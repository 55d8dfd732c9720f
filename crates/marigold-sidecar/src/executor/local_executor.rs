//! Runs calls on the local backend server.

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;

use marigold_dispatch::{
    AdmissionController, Announcement, AnnouncementOutcome, BackendState, SiteReport, SlotRequest,
};
use marigold_request::RefusalReason;
use marigold_request::quarantine::{CrashRecord, Fingerprint, QuarantineStatus};
use marigold_types::{ServiceName, SlotCount, Version};
use tokio::time::{Instant, sleep, timeout_at};
use tokio_util::sync::CancellationToken;

use super::backend_pool::BackendPool;
use super::call_progress::{CallProgress, millis};
use super::crash_check::CrashCheck;
use super::exchange::{BackendRequest, ExchangeOutcome, exchange};
use super::probe::probe;
use super::silence_watch::{SilenceChange, SilenceWatch};
use super::slot_queue::SlotQueue;
use crate::events::{EventLog, Severity};
use crate::http1::encode_request;
use crate::link::{Call, CallHandler, CallId, CallOutcome, LinkServer, Reply, ReplyHandle};
use crate::{CrashTracker, HeaderNames, TrackedRun};

/// Interval at which queued calls that cannot be served in time are removed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(20);
/// Retry delay of a suspected request while the backend server is not certain to be alive.
const TRIAL_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Retry delay while the backend server is draining or absent.
const UNAVAILABLE_RETRY_DELAY: Duration = Duration::from_millis(300);
/// How long calls are refused after the backend server has failed to accept a connection.
const UNREACHABLE_COOLDOWN: Duration = Duration::from_millis(500);
/// Interval at which a silent backend server is asked whether it is alive.
const SILENCE_PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// Status of a backend server's response to a request whose deadline has passed.
const STATUS_DEADLINE_PASSED: u16 = 504;
/// Time reserved before the deadline for the response to reach the caller.
const RESPONSE_TRANSIT_TIME: Duration = Duration::from_millis(5);

/// Called with the configuration version that a call was routed by.
pub type VersionListener = Box<dyn Fn(Version)>;

/// Returns the path of the backend server's health check, or `None` while it is not known.
pub type HealthPathSource = Box<dyn Fn() -> Option<Arc<str>>>;

/// Options of a [`LocalExecutor`], fixed for its lifetime.
#[derive(Debug, Clone)]
pub struct ExecutorOptions {
    /// Names of header fields with a special meaning.
    pub names: Arc<HeaderNames>,
    /// Responses with a larger body count as failed exchanges.
    pub max_response_body_bytes: u64,
}

/// Admits calls to the local backend server and runs them. Nothing else sends requests to it, apart from
/// health probes.
pub struct LocalExecutor {
    options: ExecutorOptions,
    crashes: Rc<CrashTracker>,
    events: Rc<EventLog>,
    queue: Rc<SlotQueue>,
    backend: RefCell<BackendState>,
    pool: RefCell<Option<Rc<BackendPool>>>,
    /// Whether the daemon is shutting down and refuses new calls.
    closing: Cell<bool>,
    unreachable_until: Cell<Option<Instant>>,
    crash_check: CrashCheck,
    silence: SilenceWatch,
    in_flight: Cell<usize>,
    link_server: RefCell<Weak<LinkServer>>,
    /// Called for each call.
    version_listener: RefCell<Option<VersionListener>>,
    health_path: RefCell<Option<HealthPathSource>>,
    myself: Weak<Self>,
}

impl LocalExecutor {
    /// Creates an executor without a backend server, which refuses calls until one is announced.
    #[must_use]
    pub fn new(
        options: ExecutorOptions,
        crashes: Rc<CrashTracker>,
        events: Rc<EventLog>,
    ) -> Rc<Self> {
        Rc::new_cyclic(|myself| Self {
            options,
            crashes,
            events,
            queue: SlotQueue::new(),
            backend: RefCell::default(),
            pool: RefCell::default(),
            closing: Cell::new(false),
            unreachable_until: Cell::new(None),
            crash_check: CrashCheck::default(),
            silence: SilenceWatch::default(),
            in_flight: Cell::new(0),
            link_server: RefCell::default(),
            version_listener: RefCell::default(),
            health_path: RefCell::default(),
            myself: myself.clone(),
        })
    }

    /// Sets the server that reports state changes to other daemons.
    pub fn set_link_server(&self, server: &Rc<LinkServer>) {
        *self.link_server.borrow_mut() = Rc::downgrade(server);
    }

    /// Sets the listener for the configuration versions that calls are routed by, so that this daemon
    /// detects when its own configuration is older.
    pub fn set_version_listener(&self, listener: VersionListener) {
        *self.version_listener.borrow_mut() = Some(listener);
    }

    /// Sets the source of the path of the health check by which a silent backend server is found to be alive.
    pub fn set_health_path(&self, source: HealthPathSource) {
        *self.health_path.borrow_mut() = Some(source);
    }

    /// Removes expired calls and idle connections and updates metrics, until the task is dropped.
    pub async fn run_maintenance(self: Rc<Self>) {
        loop {
            sleep(SWEEP_INTERVAL).await;
            self.queue.remove_expired();
            self.check_silence();
            if self.is_unreachable()
                && self
                    .unreachable_until
                    .get()
                    .is_some_and(|at| at <= Instant::now())
            {
                self.unreachable_until.set(None);
                self.apply_backend_state();
            }
            if let Some(pool) = &*self.pool.borrow() {
                pool.prune();
            }
            self.update_gauges();
        }
    }

    /// Records that the backend server has fallen silent, or is heard again.
    fn check_silence(&self) {
        let Some((_, slots)) = self.serving() else {
            return;
        };
        match self.silence.poll(slots.0) {
            Some(SilenceChange::Silent) => {
                self.crashes.record_silence();
                self.apply_backend_state();
                if let Some(executor) = self.myself.upgrade() {
                    tokio::task::spawn_local(executor.probe_until_heard());
                }
            }
            Some(SilenceChange::Heard) => {
                self.crashes.record_sound();
                self.apply_backend_state();
            }
            None => {}
        }
    }

    /// Asks the silent backend server whether it is alive, so that no request is spent on that.
    async fn probe_until_heard(self: Rc<Self>) {
        let instance = self.backend.borrow().current().cloned();
        let Some(instance) = instance else {
            return;
        };
        loop {
            sleep(SILENCE_PROBE_INTERVAL).await;
            let is_current = (self.backend.borrow().serving())
                .is_some_and(|current| current.identity == instance.identity);
            if !is_current || !self.silence.is_silent() {
                return;
            }
            let path = (self.health_path.borrow().as_ref()).and_then(|source| source());
            let is_alive = match path {
                Some(path) => probe(instance.address, &path, &self.options.names)
                    .await
                    .is_ok(),
                // Without a health check, requests show it.
                None => true,
            };
            if is_alive {
                self.silence.record_sound();
            }
        }
    }

    /// Applies an announcement of the backend server.
    pub fn apply_announcement(&self, announcement: &Announcement) -> AnnouncementOutcome {
        let was_serving = self.backend.borrow().serving().is_some();
        let outcome = self
            .backend
            .borrow_mut()
            .apply_announcement(announcement, Instant::now());
        match outcome {
            AnnouncementOutcome::NewInstance => {
                // An instance that ended without draining may have crashed without closing its connections.
                if was_serving {
                    self.crash_check.record(&self.crashes);
                }
                self.crash_check.reset();
                self.silence.reset();
                self.unreachable_until.set(None);
                *self.pool.borrow_mut() = Some(Rc::new(BackendPool::new(announcement.address)));
                self.apply_backend_state();
            }
            AnnouncementOutcome::Unchanged => {
                if self.queue.read(AdmissionController::slots) != self.usable_slots() {
                    self.apply_backend_state();
                }
            }
            AnnouncementOutcome::Draining => self.apply_backend_state(),
            AnnouncementOutcome::Stale => {}
        }
        outcome
    }

    /// Marks the backend server with `identity` as departed or about to depart.
    pub fn mark_departed(&self, identity: &str) -> AnnouncementOutcome {
        let outcome = self
            .backend
            .borrow_mut()
            .mark_departed(identity, Instant::now());
        if outcome == AnnouncementOutcome::Draining {
            self.apply_backend_state();
        }
        outcome
    }

    /// Refuses new calls from now on, because the daemon is shutting down.
    pub fn close(&self) {
        if !self.closing.replace(true) {
            self.apply_backend_state();
        }
    }

    /// Returns whether a backend server has been announced, even if it is draining.
    #[must_use]
    pub fn knows_backend(&self) -> bool {
        self.backend.borrow().current().is_some()
    }

    /// Returns the number of calls in flight, queued or running.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Returns the service and slots of the backend server, or `None` while it accepts no calls.
    #[must_use]
    pub fn serving(&self) -> Option<(ServiceName, SlotCount)> {
        if self.closing.get() {
            return None;
        }
        let backend = self.backend.borrow();
        let instance = backend.serving()?;
        Some((instance.service.clone(), instance.slots))
    }

    fn update_gauges(&self) {
        let (busy, queued) = self
            .queue
            .read(|controller| (controller.busy(), controller.queued()));
        metrics::gauge!("marigold_slots_busy").set(f64::from(slot_count(busy).0));
        metrics::gauge!("marigold_slots_queued").set(f64::from(slot_count(queued).0));
    }

    fn is_unreachable(&self) -> bool {
        self.unreachable_until.get().is_some()
    }

    fn usable_slots(&self) -> SlotCount {
        if self.is_unreachable() || self.silence.is_silent() {
            return SlotCount(0);
        }
        self.serving().map_or(SlotCount(0), |(_, slots)| slots)
    }

    /// Applies the state of the backend server to the queue and reports it to other daemons.
    fn apply_backend_state(&self) {
        let slots = self.usable_slots();
        self.queue.set_slots(slots);
        if slots.0 == 0 {
            // Other backend servers may still be able to run the queued calls in time.
            self.queue.clear(UNAVAILABLE_RETRY_DELAY);
        }
        if let Some(server) = self.link_server.borrow().upgrade() {
            server.broadcast_report();
        }
    }

    async fn run(self: Rc<Self>, call: Call, handle: ReplyHandle, cancelled: CancellationToken) {
        let arrived_at = Instant::now();
        self.in_flight.set(self.in_flight.get() + 1);
        let mut progress = CallProgress::default();
        let outcome = tokio::select! {
            biased;
            () = cancelled.cancelled() => None,
            outcome = self.admit_and_run(&call, arrived_at, &mut progress) => Some(outcome),
        };
        let outcome = match outcome {
            Some(outcome) => outcome,
            // The backend server may still run it, although the call was cancelled.
            None if progress.started_at.is_some() => CallOutcome::Lost { broken: false },
            None => refused(RefusalReason::Cancelled, Duration::ZERO),
        };
        let ran = progress.ran();
        self.in_flight.set(self.in_flight.get() - 1);
        let (busy, queued) = self
            .queue
            .read(|controller| (controller.busy(), controller.queued()));
        progress.record(&self.events, &call, &outcome, busy, queued);
        handle.send(Reply {
            id: CallId::default(),
            outcome,
            waited: progress.waited,
            ran,
            site: self.report(),
            body: progress.body,
        });
    }

    async fn admit_and_run(
        &self,
        call: &Call,
        arrived_at: Instant,
        progress: &mut CallProgress,
    ) -> CallOutcome {
        let deadline = arrived_at + call.timeout;
        if let Err(reason) = self.check_backend(call) {
            return refused(reason, UNAVAILABLE_RETRY_DELAY);
        }
        let fingerprint = call.fingerprint();
        if let Some(delay) = self.crashes.refusal(&fingerprint) {
            return refused(RefusalReason::Quarantined, delay);
        }
        let slot_request = SlotRequest {
            kind: call.kind.clone(),
            rank: call.rank,
            objective: arrived_at + call.objective,
            deadline,
        };
        let expected_run = self
            .queue
            .read(|controller| controller.expected_run(&slot_request, arrived_at));
        let slot_result = self.queue.acquire(slot_request).await;
        progress.waited = arrived_at.elapsed();
        let mut slot = match slot_result {
            Ok(slot) => slot,
            Err(retry_after) => {
                let reason = self.check_backend(call).err();
                return refused(reason.unwrap_or(RefusalReason::Overloaded), retry_after);
            }
        };
        // The backend server may have left during the wait.
        if let Err(reason) = self.check_backend(call) {
            return refused(reason, UNAVAILABLE_RETRY_DELAY);
        }
        let pool = self.pool.borrow().clone();
        let Some(pool) = pool else {
            return refused(RefusalReason::NoBackendServer, UNAVAILABLE_RETRY_DELAY);
        };
        let conn = match pool.acquire(call.idempotent).await {
            Ok(conn) => conn,
            Err(error) => {
                self.mark_unreachable(&error);
                return refused(RefusalReason::NoConnection, UNREACHABLE_COOLDOWN);
            }
        };
        self.crash_check.reset();
        let now = Instant::now();
        let Some(request) = self.build_request(call, deadline, now) else {
            return refused(RefusalReason::Deadline, Duration::ZERO);
        };
        // The request may have crashed a backend server during the waits.
        let run = match self.start_run(fingerprint) {
            Ok(run) => run,
            Err(delay) => {
                pool.release(conn, None);
                return refused(RefusalReason::Quarantined, delay);
            }
        };
        let watched = self.silence.watch(expected_run);
        progress.started_at = Some(now);
        let result = timeout_at(
            deadline,
            exchange(&pool, conn, &self.options.names, &request),
        );
        let result = result.await;
        if result.is_ok() {
            watched.record_sound();
        }
        match result {
            Ok(ExchangeOutcome::Answered(response)) => {
                slot.mark_completed();
                // Responses with this status end runs that may go on.
                if response.status == STATUS_DEADLINE_PASSED {
                    drop(run);
                } else {
                    run.answered();
                }
                progress.body = response.body;
                CallOutcome::Answered {
                    status: response.status,
                    fields: response.fields,
                }
            }
            Ok(ExchangeOutcome::Rejected { status }) => {
                run.ended();
                CallOutcome::Rejected { status }
            }
            Ok(ExchangeOutcome::Broken(error)) => {
                self.events.emit(
                    "backend_exchange_broken",
                    Severity::Warn,
                    &[
                        ("request", call.request_id.to_string().into()),
                        ("fingerprint", fingerprint.to_string().into()),
                        ("cause", error.to_string().into()),
                        ("ran_ms", millis(now.elapsed()).into()),
                    ],
                );
                self.check_for_crash(&pool, run);
                CallOutcome::Lost { broken: true }
            }
            Err(_) => CallOutcome::Lost { broken: false },
        }
    }

    /// Records that a request is sent to the backend server.
    ///
    /// A suspected request is not blamed for the end of a backend server that had ended before.
    fn start_run(&self, fingerprint: Fingerprint) -> Result<TrackedRun, Duration> {
        let is_suspect = self.crashes.status(&fingerprint) == QuarantineStatus::Suspect;
        if is_suspect && !self.silence.is_alive() {
            return Err(TRIAL_RETRY_DELAY);
        }
        self.crashes.start(fingerprint)
    }

    /// Checks whether the backend server has crashed, after the exchange of `run` on a connection of `pool` broke.
    fn check_for_crash(&self, pool: &Rc<BackendPool>, run: TrackedRun) {
        let Some(executor) = self.myself.upgrade() else {
            return;
        };
        if !self.crash_check.begin(run) {
            return;
        }
        let pool = pool.clone();
        tokio::task::spawn_local(async move {
            let has_ended = executor.crash_check.run(&pool).await;
            let current = executor.pool.borrow().clone();
            if has_ended && current.is_some_and(|current| Rc::ptr_eq(&current, &pool)) {
                executor.crash_check.record(&executor.crashes);
                executor.mark_unreachable(&io::ErrorKind::ConnectionRefused.into());
            }
            executor.crash_check.end();
        });
    }

    /// Returns why the call cannot run now, if the backend server is not of the requested service or
    /// accepts no calls.
    fn check_backend(&self, call: &Call) -> Result<(), RefusalReason> {
        if self.closing.get() {
            return Err(RefusalReason::Draining);
        }
        let backend = self.backend.borrow();
        let instance = backend.current().ok_or(RefusalReason::NoBackendServer)?;
        if instance.service != call.service {
            return Err(RefusalReason::NoBackendServer);
        }
        if instance.draining_since.is_some() {
            return Err(RefusalReason::Draining);
        }
        if self.is_unreachable() || self.silence.is_silent() {
            return Err(RefusalReason::NoConnection);
        }
        Ok(())
    }

    /// Builds the request to the backend server, or returns `None` if the deadline is too close or the
    /// backend server accepts no calls.
    fn build_request(
        &self,
        call: &Call,
        deadline: Instant,
        now: Instant,
    ) -> Option<BackendRequest> {
        let time_left = deadline
            .saturating_duration_since(now)
            .checked_sub(RESPONSE_TRANSIT_TIME)?;
        let names = &self.options.names;
        let backend = self.backend.borrow();
        let identity = &backend.serving()?.identity;
        let extra = format!(
            "{}: {}\r\n{}: {identity}\r\n{}: {}\r\n",
            names.deadline,
            time_left.as_millis().max(1),
            names.expected_identity,
            names.origin,
            call.origin,
        );
        let bytes = encode_request(&call.method, &call.target, &call.fields, &extra, &call.body);
        Some(BackendRequest {
            id: call.request_id.clone(),
            bodiless: &*call.method == "HEAD",
            bytes,
            max_body_bytes: self.options.max_response_body_bytes,
        })
    }

    fn mark_unreachable(&self, error: &io::Error) {
        self.events.emit(
            "backend_unreachable",
            Severity::Warn,
            &[("cause", error.to_string().into())],
        );
        self.unreachable_until
            .set(Some(Instant::now() + UNREACHABLE_COOLDOWN));
        self.apply_backend_state();
    }
}

impl CallHandler for LocalExecutor {
    fn start(&self, call: Call, reply: ReplyHandle, cancelled: CancellationToken) {
        if let Some(listener) = &*self.version_listener.borrow() {
            listener(call.version);
        }
        if let Some(myself) = self.myself.upgrade() {
            tokio::task::spawn_local(myself.run(call, reply, cancelled));
        }
    }

    fn report(&self) -> SiteReport {
        let slots = self.usable_slots();
        let service = self.serving().map(|(service, _)| service);
        self.queue.read(|controller| SiteReport {
            service,
            slots,
            busy: slot_count(controller.busy()),
            queued: slot_count(controller.queued()),
            mean_run: controller.mean_run(),
        })
    }

    fn crash_records(&self) -> Vec<CrashRecord> {
        self.crashes.records()
    }
}

fn refused(reason: RefusalReason, retry_after: Duration) -> CallOutcome {
    CallOutcome::Refused {
        reason,
        retry_after,
    }
}

fn slot_count(len: usize) -> SlotCount {
    SlotCount(u32::try_from(len).unwrap_or(u32::MAX))
}
