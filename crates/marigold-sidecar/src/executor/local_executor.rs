//! Runs calls on the backend server beside the daemon.

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use marigold_dispatch::{
    AdmissionController, Announcement, AnnouncementOutcome, BackendState, SiteReport, SlotRequest,
};
use marigold_request::RefusalReason;
use marigold_types::{ServiceName, SlotCount, Version};
use tokio::time::{Instant, sleep, timeout_at};
use tokio_util::sync::CancellationToken;

use super::backend_pool::BackendPool;
use super::exchange::{BackendRequest, ExchangeOutcome, exchange};
use super::queue::Queue;
use crate::HeaderNames;
use crate::events::{EventLog, Severity};
use crate::http1::encode_request;
use crate::link::{Call, CallHandler, CallId, CallOutcome, LinkServer, Reply, ReplyHandle};

/// How often waiting requests are looked through for ones that cannot be served in time.
const SWEEP_TICK: Duration = Duration::from_millis(20);
/// When to come back to a backend server that is leaving or not there.
const AWAY_RETRY: Duration = Duration::from_millis(300);
/// How long a backend server that accepts no connection gets no work.
const DOWN_TIME: Duration = Duration::from_millis(500);
/// The time that an answer takes on its way back, which the backend server must leave.
const RETURN_TIME: Duration = Duration::from_millis(5);

/// How far a call has come.
#[derive(Debug, Default)]
struct Course {
    /// How long it waited for a slot.
    waited: Duration,
    /// When it was handed to the backend server.
    began: Option<Instant>,
    /// The answer's body.
    body: Bytes,
}

/// Hears of versions of the configuration.
pub type VersionListener = Box<dyn Fn(Version)>;

/// The fixed parts of an executor.
#[derive(Debug, Clone)]
pub struct ExecutorOptions {
    /// The header fields that have a meaning.
    pub names: Arc<HeaderNames>,
    /// The largest body of an answer that is taken, in bytes.
    pub max_response_body_bytes: u64,
}

/// The only way to the backend server beside the daemon.
pub struct LocalExecutor {
    options: ExecutorOptions,
    events: Rc<EventLog>,
    queue: Rc<Queue>,
    backend: RefCell<BackendState>,
    pool: RefCell<Option<Rc<BackendPool>>>,
    /// Whether the daemon itself is leaving.
    closing: Cell<bool>,
    down_until: Cell<Option<Instant>>,
    in_flight: Cell<usize>,
    server: RefCell<Weak<LinkServer>>,
    /// Hears the version of the configuration that each call was routed by.
    on_version: RefCell<Option<VersionListener>>,
    myself: Weak<Self>,
}

impl LocalExecutor {
    /// Builds the executor of a backend server that is not known yet.
    #[must_use]
    pub fn new(options: ExecutorOptions, events: Rc<EventLog>) -> Rc<Self> {
        Rc::new_cyclic(|myself| Self {
            options,
            events,
            queue: Queue::new(),
            backend: RefCell::default(),
            pool: RefCell::default(),
            closing: Cell::new(false),
            down_until: Cell::new(None),
            in_flight: Cell::new(0),
            server: RefCell::default(),
            on_version: RefCell::default(),
            myself: myself.clone(),
        })
    }

    /// Sets the server that tells other daemons of changes.
    pub fn set_link_server(&self, server: &Rc<LinkServer>) {
        *self.server.borrow_mut() = Rc::downgrade(server);
    }

    /// Sets who hears of the versions that calls are routed by, so that this daemon does not fall behind
    /// what its backend server is seen to run.
    pub fn set_version_listener(&self, listener: VersionListener) {
        *self.on_version.borrow_mut() = Some(listener);
    }

    /// Keeps the queue and the connections in order until the task is dropped.
    pub async fn run_maintenance(self: Rc<Self>) {
        loop {
            sleep(SWEEP_TICK).await;
            self.queue.sweep();
            if self.is_down() && self.down_until.get().is_some_and(|at| at <= Instant::now()) {
                self.down_until.set(None);
                self.refresh();
            }
            if let Some(pool) = &*self.pool.borrow() {
                pool.prune();
            }
            self.measure();
        }
    }

    /// Takes in an announcement of the backend server.
    pub fn apply_announcement(&self, news: &Announcement) -> AnnouncementOutcome {
        let heard = self
            .backend
            .borrow_mut()
            .apply_announcement(news, Instant::now());
        match heard {
            AnnouncementOutcome::NewInstance => {
                self.down_until.set(None);
                *self.pool.borrow_mut() = Some(Rc::new(BackendPool::new(news.address)));
                self.refresh();
            }
            AnnouncementOutcome::Unchanged => {
                if self.queue.read(AdmissionController::slots) != self.usable_slots() {
                    self.refresh();
                }
            }
            AnnouncementOutcome::Draining => self.refresh(),
            AnnouncementOutcome::Stale => {}
        }
        heard
    }

    /// Takes in that the backend server has left or is about to.
    pub fn mark_departed(&self, identity: &str) -> AnnouncementOutcome {
        let heard = self
            .backend
            .borrow_mut()
            .mark_departed(identity, Instant::now());
        if heard == AnnouncementOutcome::Draining {
            self.refresh();
        }
        heard
    }

    /// Refuses new calls from now on, since the daemon ends.
    pub fn close(&self) {
        if !self.closing.replace(true) {
            self.refresh();
        }
    }

    /// Returns whether any life of the backend server is known, leaving or not.
    #[must_use]
    pub fn knows_backend(&self) -> bool {
        self.backend.borrow().current().is_some()
    }

    /// Returns the calls that are open.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Returns the service and slots of the backend server while it takes work.
    #[must_use]
    pub fn serving(&self) -> Option<(ServiceName, SlotCount)> {
        if self.closing.get() {
            return None;
        }
        let backend = self.backend.borrow();
        let life = backend.serving()?;
        Some((life.service.clone(), life.slots))
    }

    fn measure(&self) {
        let (busy, queued) = self.queue.read(|gate| (gate.busy(), gate.queued()));
        metrics::gauge!("marigold_slots_busy").set(f64::from(count(busy).0));
        metrics::gauge!("marigold_slots_queued").set(f64::from(count(queued).0));
    }

    fn is_down(&self) -> bool {
        self.down_until.get().is_some()
    }

    fn usable_slots(&self) -> SlotCount {
        if self.is_down() {
            return SlotCount(0);
        }
        self.serving().map_or(SlotCount(0), |(_, slots)| slots)
    }

    /// Brings queue and other daemons up to date with the backend server.
    fn refresh(&self) {
        let slots = self.usable_slots();
        self.queue.set_slots(slots);
        if slots.0 == 0 {
            // Another backend server may still have time for what waits here.
            self.queue.clear(AWAY_RETRY);
        }
        if let Some(server) = self.server.borrow().upgrade() {
            server.broadcast_report();
        }
    }

    async fn run(self: Rc<Self>, call: Call, handle: ReplyHandle, cancelled: CancellationToken) {
        let arrived = Instant::now();
        self.in_flight.set(self.in_flight.get() + 1);
        let mut course = Course::default();
        let outcome = tokio::select! {
            biased;
            () = cancelled.cancelled() => None,
            outcome = self.admit_and_run(&call, arrived, &mut course) => Some(outcome),
        };
        let outcome = match outcome {
            Some(outcome) => outcome,
            // The backend server may run it, whoever has stopped waiting.
            None if course.began.is_some() => CallOutcome::Lost { broken: false },
            None => refused(RefusalReason::Cancelled, Duration::ZERO),
        };
        let ran = course.began.map_or(Duration::ZERO, |at| at.elapsed());
        let waited = course.waited;
        self.in_flight.set(self.in_flight.get() - 1);
        self.note(&call, &outcome, waited, ran);
        handle.send(Reply {
            id: CallId::default(),
            outcome,
            waited,
            ran,
            site: self.report(),
            body: course.body,
        });
    }

    async fn admit_and_run(
        &self,
        call: &Call,
        arrived: Instant,
        course: &mut Course,
    ) -> CallOutcome {
        let deadline = arrived + call.timeout;
        if let Err(reason) = self.check(call) {
            return refused(reason, AWAY_RETRY);
        }
        let work = SlotRequest {
            kind: call.kind.clone(),
            rank: call.rank,
            objective: arrived + call.objective,
            deadline,
        };
        let granted = self.queue.acquire(work).await;
        course.waited = arrived.elapsed();
        let mut slot = match granted {
            Ok(slot) => slot,
            Err(retry_after) => {
                let reason = self.check(call).err();
                return refused(reason.unwrap_or(RefusalReason::Overloaded), retry_after);
            }
        };
        // The wait may have outlasted the backend server or the caller.
        if let Err(reason) = self.check(call) {
            return refused(reason, AWAY_RETRY);
        }
        let pool = self.pool.borrow().clone();
        let Some(pool) = pool else {
            return refused(RefusalReason::NoBackendServer, AWAY_RETRY);
        };
        let conn = match pool.acquire(call.idempotent).await {
            Ok(conn) => conn,
            Err(error) => {
                self.note_down(&error);
                return refused(RefusalReason::NoConnection, DOWN_TIME);
            }
        };
        let now = Instant::now();
        let Some(request) = self.request(call, deadline, now) else {
            return refused(RefusalReason::Deadline, Duration::ZERO);
        };
        course.began = Some(now);
        let result = timeout_at(
            deadline,
            exchange(&pool, conn, &self.options.names, &request),
        );
        let result = result.await;
        match result {
            Ok(ExchangeOutcome::Answered(answer)) => {
                slot.ran();
                course.body = answer.body;
                CallOutcome::Answered {
                    status: answer.status,
                    fields: answer.fields,
                }
            }
            Ok(ExchangeOutcome::Rejected { status }) => CallOutcome::Rejected { status },
            Ok(ExchangeOutcome::Broken(fault)) => {
                self.events.emit(
                    "backend_exchange_broken",
                    Severity::Warn,
                    &[
                        ("request", call.request_id.to_string().into()),
                        ("cause", fault.to_string().into()),
                        ("ran_ms", millis(now.elapsed()).into()),
                    ],
                );
                CallOutcome::Lost { broken: true }
            }
            Err(_) => CallOutcome::Lost { broken: false },
        }
    }

    /// Checks that the backend server is the one that the call is for and takes work.
    fn check(&self, call: &Call) -> Result<(), RefusalReason> {
        if self.closing.get() {
            return Err(RefusalReason::Draining);
        }
        let backend = self.backend.borrow();
        let life = backend.current().ok_or(RefusalReason::NoBackendServer)?;
        if life.service != call.service {
            return Err(RefusalReason::NoBackendServer);
        }
        if life.draining_since.is_some() {
            return Err(RefusalReason::Draining);
        }
        if self.is_down() {
            return Err(RefusalReason::NoConnection);
        }
        Ok(())
    }

    fn request(&self, call: &Call, deadline: Instant, now: Instant) -> Option<BackendRequest> {
        let left = deadline
            .saturating_duration_since(now)
            .checked_sub(RETURN_TIME)?;
        let names = &self.options.names;
        let backend = self.backend.borrow();
        let identity = &backend.serving()?.identity;
        let extra = format!(
            "{}: {}\r\n{}: {identity}\r\n{}: {}\r\n",
            names.deadline,
            left.as_millis().max(1),
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

    fn note_down(&self, error: &std::io::Error) {
        self.events.emit(
            "backend_unreachable",
            Severity::Warn,
            &[("cause", error.to_string().into())],
        );
        self.down_until.set(Some(Instant::now() + DOWN_TIME));
        self.refresh();
    }

    fn note(&self, call: &Call, outcome: &CallOutcome, waited: Duration, ran: Duration) {
        let (word, detail, severity) = describe(outcome);
        metrics::counter!("marigold_executor_calls_total", "outcome" => word).increment(1);
        metrics::histogram!("marigold_executor_wait_seconds").record(waited.as_secs_f64());
        let (busy, queued) = self.queue.read(|gate| (gate.busy(), gate.queued()));
        self.events.emit(
            "call_ended",
            severity,
            &[
                ("request", call.request_id.to_string().into()),
                ("route", call.kind.to_string().into()),
                ("version", call.version.0.into()),
                ("outcome", word.into()),
                ("detail", detail.into()),
                ("waited_ms", millis(waited).into()),
                ("ran_ms", millis(ran).into()),
                ("busy", busy.into()),
                ("queued", queued.into()),
            ],
        );
    }
}

impl CallHandler for LocalExecutor {
    fn start(&self, call: Call, reply: ReplyHandle, cancelled: CancellationToken) {
        if let Some(listener) = &*self.on_version.borrow() {
            listener(call.version);
        }
        if let Some(myself) = self.myself.upgrade() {
            tokio::task::spawn_local(myself.run(call, reply, cancelled));
        }
    }

    fn report(&self) -> SiteReport {
        let slots = self.usable_slots();
        let service = self.serving().map(|(service, _)| service);
        self.queue.read(|gate| SiteReport {
            service,
            slots,
            busy: count(gate.busy()),
            queued: count(gate.queued()),
            mean_run: gate.mean_run(),
        })
    }
}

fn refused(reason: RefusalReason, retry_after: Duration) -> CallOutcome {
    CallOutcome::Refused {
        reason,
        retry_after,
    }
}

fn describe(outcome: &CallOutcome) -> (&'static str, String, Severity) {
    match outcome {
        CallOutcome::Answered { status, .. } => ("answered", status.to_string(), Severity::Routine),
        CallOutcome::Refused { reason, .. } => ("refused", reason.to_string(), Severity::Info),
        CallOutcome::Rejected { status } => ("rejected", status.to_string(), Severity::Info),
        CallOutcome::Lost { broken } => {
            let detail = if *broken { "broken" } else { "silent" };
            ("lost", detail.to_owned(), Severity::Warn)
        }
    }
}

fn count(len: usize) -> SlotCount {
    SlotCount(u32::try_from(len).unwrap_or(u32::MAX))
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
