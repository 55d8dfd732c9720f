//! Runs calls on the local backend server.

mod backend_changes;
mod call_run;

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::{Rc, Weak};
use std::time::Duration;

use marigold_dispatch::{ServerVersion, SiteReport, VersionCounts};
use marigold_request::RefusalReason;
use marigold_request::quarantine::CrashRecord;
use marigold_types::{ServiceName, SlotCount};
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use super::backend_monitor::BackendMonitor;
use super::executor_options::{ExecutorOptions, HealthPathSource, VersionListener};
use super::probe::{ProbeResponse, probe};
use super::run_evidence::RunEvidence;
use super::slot_queue::SlotQueue;
use crate::CrashTracker;
use crate::events::EventLog;
use crate::link::{Call, CallHandler, CallOutcome, LinkServer, ReplyHandle};

/// Interval at which queued calls that cannot be served in time are removed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(20);
/// Retry delay while the backend server is draining or absent.
const UNAVAILABLE_RETRY_DELAY: Duration = Duration::from_millis(300);
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

    /// Sends a health check to the backend server, or returns `None` if there is no path to send it to.
    pub(super) async fn check_health(&self) -> Option<io::Result<ProbeResponse>> {
        let address = self.backend.serving().map(|instance| instance.address)?;
        let path = (self.health_path.borrow().as_ref()).and_then(|source| source())?;
        self.queue.record_probe();
        Some(probe(address, &path, &self.options.names).await)
    }

    /// Returns whether the current instance of the backend server answers a health check, or `None` if there is no path to
    /// send one to. An answer of another instance shows that the current one has ended.
    pub(super) async fn is_answering(&self) -> Option<bool> {
        let current = self.backend.serving()?.identity.clone();
        let result = self.check_health().await?;
        Some(result.is_ok_and(|response| response.identity.is_none_or(|other| other == current)))
    }

    /// Returns the current instance of the backend server and its connections.
    pub(super) fn backend(&self) -> &BackendMonitor {
        &self.backend
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
        let held = u32::try_from(self.options.memory.held() >> 10).unwrap_or(u32::MAX);
        metrics::gauge!("marigold_memory_held_kib").set(f64::from(held));
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
