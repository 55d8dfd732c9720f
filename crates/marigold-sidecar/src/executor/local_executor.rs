//! Runs calls on the local backend server.

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::{Rc, Weak};
use std::time::Duration;

use marigold_dispatch::{
    AdmissionController, Announcement, AnnouncementOutcome, Departure, NamedLimit, ServerVersion,
    SiteReport, SlotRequest, VersionCounts,
};
use marigold_request::RefusalReason;
use marigold_request::quarantine::{CrashRecord, Fingerprint, QuarantineStatus};
use marigold_types::{ServiceName, SlotCount};
use tokio::time::{Instant, sleep, timeout_at};
use tokio_util::sync::CancellationToken;

use super::backend_conn::BackendConn;
use super::backend_monitor::{BackendMonitor, UNREACHABLE_COOLDOWN};
use super::backend_pool::BackendPool;
use super::call_progress::{CallProgress, millis};
use super::exchange::{BackendRequest, BackendStatement, ExchangeOutcome, exchange};
use super::executor_options::{ExecutorOptions, HealthPathSource, VersionListener};
use super::health_probes::{probe_quiet_backend, probe_until_heard, probe_until_limit_is_known};
use super::limit_watch::LimitWatch;
use super::probe::{ProbeResponse, probe};
use super::run_evidence::RunEvidence;
use super::silence_watch::SilenceChange;
use super::slot_queue::SlotQueue;
use crate::crash_tracker::TRIAL_RETRY_DELAY;
use crate::events::{EventLog, Severity};
use crate::link::{Call, CallHandler, CallId, CallOutcome, LinkServer, Reply, ReplyHandle};
use crate::{CrashTracker, TrackedRun};

/// Interval at which queued calls that cannot be served in time are removed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(20);
/// Retry delay while the backend server is draining or absent.
const UNAVAILABLE_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Status of a backend server's response to a request whose deadline has passed.
pub(super) const STATUS_DEADLINE_PASSED: u16 = 504;
/// Time reserved before the deadline for the response to reach the caller.
const RESPONSE_TRANSIT_TIME: Duration = Duration::from_millis(5);

/// Admits calls to the local backend server and runs them. Nothing else sends requests to it, apart from
/// health probes.
pub struct LocalExecutor {
    options: ExecutorOptions,
    crashes: Rc<CrashTracker>,
    events: Rc<EventLog>,
    queue: Rc<SlotQueue>,
    backend: BackendMonitor,
    in_flight: Cell<usize>,
    evidence: RunEvidence,
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
            backend: BackendMonitor::default(),
            in_flight: Cell::new(0),
            evidence: RunEvidence::default(),
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
            self.queue.reclaim_overdue();
            self.check_silence();
            let limits = &self.backend.limits;
            let now = Instant::now();
            if self
                .queue
                .read(|controller| limits.is_room_due(controller, now))
            {
                self.broadcast_report();
            }
            if self.backend.end_cooldown() {
                self.apply_backend_state();
            }
            if let Some(pool) = self.backend.pool() {
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
        if self.backend.silence.begin_probe(slots.0)
            && let Some(executor) = self.myself.upgrade()
        {
            tokio::task::spawn_local(probe_quiet_backend(executor));
        }
        match self.backend.silence.poll(slots.0) {
            Some(SilenceChange::Silent) => {
                self.crashes.record_silence();
                self.apply_backend_state();
                if let Some(executor) = self.myself.upgrade() {
                    tokio::task::spawn_local(probe_until_heard(executor));
                }
            }
            Some(SilenceChange::Heard) => {
                self.crashes.record_sound();
                self.apply_backend_state();
            }
            None => {}
        }
    }

    /// Sends a health check to the backend server, or returns `None` if there is no path to send it to.
    pub(super) async fn check_health(&self) -> Option<io::Result<ProbeResponse>> {
        let address = self.backend.serving().map(|instance| instance.address)?;
        let path = (self.health_path.borrow().as_ref()).and_then(|source| source())?;
        self.queue.record_probe();
        Some(probe(address, &path, &self.options.names).await)
    }

    /// Returns the current instance of the backend server and its connections.
    pub(super) fn backend(&self) -> &BackendMonitor {
        &self.backend
    }

    /// Applies an announcement of the backend server.
    pub fn apply_announcement(&self, announcement: &Announcement) -> AnnouncementOutcome {
        let was_serving = self.backend.serving().is_some();
        let outcome = self.backend.apply_announcement(announcement);
        self.evidence.announced(outcome, announcement.warmup);
        match outcome {
            AnnouncementOutcome::NewInstance => {
                let crash_check = &self.backend.crash_check;
                // An instance that ended without draining may have crashed without closing its connections.
                if was_serving {
                    crash_check.record(&self.crashes);
                }
                crash_check.reset();
                self.queue.set_request_limit(None);
                self.apply_backend_state();
                if let Some(executor) = self.myself.upgrade()
                    && self.backend.is_limit_unknown()
                {
                    tokio::task::spawn_local(probe_until_limit_is_known(executor));
                }
            }
            AnnouncementOutcome::Unchanged => {
                if self.queue.read(AdmissionController::slots) != self.backend.usable_slots() {
                    self.apply_backend_state();
                }
            }
            AnnouncementOutcome::Draining => self.apply_backend_state(),
            AnnouncementOutcome::Stale => {}
        }
        outcome
    }

    /// Gives up learning the limit from the first response, as the backend server breaks exchanges: one request at a time
    /// would leave its slots unused for as long as it does.
    fn end_wait_for_limit(&self) {
        if self.backend.is_limit_unknown() {
            self.backend.record_limit(NamedLimit::None);
            self.apply_backend_state();
        }
    }

    /// Applies what a response of the backend server says about it.
    pub fn apply_statement(&self, statement: &BackendStatement) {
        if statement.leaving {
            self.mark_current_departed();
            return;
        }
        let Some(limit) = self.backend.limits.interpret(statement, &self.events) else {
            return;
        };
        let Some(previous) = self.backend.record_limit(limit) else {
            return;
        };
        let (previous, limit) = (previous.limit(), limit.limit());
        if previous != limit {
            self.queue.set_request_limit(limit);
            LimitWatch::record_change(previous, limit, &self.events);
        }
        self.apply_backend_state();
    }

    /// Marks the backend server with `identity` as departed or about to depart.
    pub fn mark_departed(&self, identity: &str) -> AnnouncementOutcome {
        let outcome = self.backend.mark_departed(identity);
        if outcome == AnnouncementOutcome::Draining {
            self.apply_backend_state();
        }
        outcome
    }

    /// Records that the current instance says in a response that it is shutting down, like an announcement of that.
    fn mark_current_departed(&self) {
        let identity = self
            .backend
            .serving()
            .map(|instance| instance.identity.clone());
        if let Some(identity) = identity {
            let fields = [("identity", identity.to_string().into())];
            self.events.emit("backend_leaving", Severity::Info, &fields);
            self.mark_departed(&identity);
        }
    }

    /// Returns the instance of the backend server that has said that it leaves.
    #[must_use]
    pub fn leaving(&self) -> Option<Departure> {
        self.backend.leaving()
    }

    /// Restores a departure that a previous run of this daemon has recorded.
    pub fn restore_departure(&self, departure: &Departure) {
        self.backend.restore_departure(departure);
        self.apply_backend_state();
    }

    /// Refuses new calls from now on, because the daemon is shutting down.
    pub fn close(&self) {
        if self.backend.close() {
            self.apply_backend_state();
        }
    }

    /// Returns whether a backend server has been announced, even if it is draining.
    #[must_use]
    pub fn knows_backend(&self) -> bool {
        self.backend.current().is_some()
    }

    /// Returns the number of calls in flight, queued or running.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Returns the service and slots of the backend server, or `None` while it accepts no calls.
    #[must_use]
    pub fn serving(&self) -> Option<(ServiceName, SlotCount)> {
        let instance = self
            .backend
            .serving()
            .filter(|_| !self.backend.is_closing())?;
        Some((instance.service.clone(), instance.slots))
    }

    /// Returns the software version of the backend server, or `None` if none is known or it accepts no calls.
    #[must_use]
    pub fn version(&self) -> Option<ServerVersion> {
        self.backend.serving()?.version.clone()
    }

    fn update_gauges(&self) {
        let (busy, queued) = self
            .queue
            .read(|controller| (controller.busy(), controller.queued()));
        metrics::gauge!("marigold_slots_busy").set(f64::from(slot_count(busy).0));
        metrics::gauge!("marigold_slots_queued").set(f64::from(slot_count(queued).0));
    }

    /// Applies the state of the backend server to the queue and reports it to other daemons.
    fn apply_backend_state(&self) {
        let slots = self.backend.usable_slots();
        let one_at_a_time = self.backend.is_limit_unknown();
        self.queue.set_slots(slots, one_at_a_time);
        if slots.0 == 0 {
            // Other backend servers may still be able to run the queued calls in time.
            self.queue.clear(UNAVAILABLE_RETRY_DELAY);
        }
        self.broadcast_report();
    }

    fn broadcast_report(&self) {
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
        if let Err(reason) = self.backend.check(&call.service) {
            return refused(reason, UNAVAILABLE_RETRY_DELAY);
        }
        let fingerprint = call.fingerprint();
        if let Some(delay) = self.crashes.refusal(&fingerprint) {
            return refused(RefusalReason::Quarantined, delay);
        }
        let slot_request = SlotRequest {
            kind: call.kind.clone(),
            workspace: call.workspace.clone(),
            precedence: call.precedence,
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
                let reason = self.backend.check(&call.service).err();
                return refused(reason.unwrap_or(RefusalReason::Overloaded), retry_after);
            }
        };
        // The backend server may have left during the wait.
        if let Err(reason) = self.backend.check(&call.service) {
            return refused(reason, UNAVAILABLE_RETRY_DELAY);
        }
        let Some(pool) = self.backend.pool() else {
            return refused(RefusalReason::NoBackendServer, UNAVAILABLE_RETRY_DELAY);
        };
        let conn = match pool.acquire(call.idempotent).await {
            Ok(conn) => conn,
            Err(error) => {
                self.mark_unreachable(&error);
                return refused(RefusalReason::NoConnection, UNREACHABLE_COOLDOWN);
            }
        };
        self.backend.crash_check.reset();
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
        progress.started_at = Some(now);
        let watched = self.evidence.start(&call.kind, now);
        let result = timeout_at(
            deadline,
            self.watched_exchange(&pool, conn, &request, expected_run),
        );
        match result.await {
            Ok(ExchangeOutcome::Answered(response)) => {
                slot.mark_completed();
                watched.answered(response.status);
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
                watched.failed();
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
            Err(_) => {
                watched.timed_out(expected_run);
                CallOutcome::Lost { broken: false }
            }
        }
    }

    /// Sends a request, and applies what the response says about the backend server.
    async fn watched_exchange(
        &self,
        pool: &Rc<BackendPool>,
        conn: BackendConn,
        request: &BackendRequest,
        expected_run: Duration,
    ) -> ExchangeOutcome {
        let watched = self.backend.silence.watch(expected_run);
        let result = exchange(pool, conn, &self.options.names, request).await;
        watched.record_sound();
        if matches!(result.outcome, ExchangeOutcome::Broken(_)) && self.backend.is_current(pool) {
            self.end_wait_for_limit();
        }
        // The response of a previous instance says nothing about the current one.
        if let Some(statement) = &result.statement
            && self.backend.is_current(pool)
        {
            self.apply_statement(statement);
        }
        result.outcome
    }

    /// Records that a request is sent to the backend server.
    ///
    /// A suspected request is not blamed for the end of a backend server that had ended before.
    fn start_run(&self, fingerprint: Fingerprint) -> Result<TrackedRun, Duration> {
        let is_suspect = self.crashes.status(&fingerprint) == QuarantineStatus::Suspect;
        if is_suspect && !self.backend.silence.is_alive() {
            return Err(TRIAL_RETRY_DELAY);
        }
        self.crashes.start(fingerprint)
    }

    /// Checks whether the backend server has crashed, after the exchange of `run` on a connection of `pool` broke.
    fn check_for_crash(&self, pool: &Rc<BackendPool>, run: TrackedRun) {
        let Some(executor) = self.myself.upgrade() else {
            return;
        };
        if !self.backend.crash_check.begin(run) {
            return;
        }
        let pool = pool.clone();
        tokio::task::spawn_local(async move {
            let crash_check = &executor.backend.crash_check;
            let has_ended = crash_check.run(&pool).await;
            if has_ended && executor.backend.is_current(&pool) {
                crash_check.record(&executor.crashes);
                executor.mark_unreachable(&io::ErrorKind::ConnectionRefused.into());
            }
            crash_check.end();
        });
    }

    /// Builds the request to the backend server, or returns `None` if the deadline is too close or the backend server
    /// accepts no calls.
    fn build_request(
        &self,
        call: &Call,
        deadline: Instant,
        now: Instant,
    ) -> Option<BackendRequest> {
        let time_left = deadline
            .saturating_duration_since(now)
            .checked_sub(RESPONSE_TRANSIT_TIME)?;
        let identity = self.backend.serving()?.identity.clone();
        Some(BackendRequest::for_call(
            call,
            &identity,
            time_left,
            &self.options,
        ))
    }

    fn mark_unreachable(&self, error: &io::Error) {
        self.events.emit(
            "backend_unreachable",
            Severity::Warn,
            &[("cause", error.to_string().into())],
        );
        self.backend.mark_unreachable();
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
        let service = self.serving().map(|(service, _)| service);
        self.queue
            .read(|controller| controller.report(service, Instant::now()))
    }

    fn version_counts(&self, service: &ServiceName) -> Option<VersionCounts> {
        let instance = self.backend.serving()?;
        if instance.service != *service {
            return None;
        }
        let version = instance.version.clone()?;
        Some(self.evidence.counts(service.clone(), version))
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
