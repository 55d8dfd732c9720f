//! Runs requests on the local backend server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use marigold_request::admission::AdmissionRequest;
use marigold_request::deadline::Deadline;
use marigold_request::quarantine::{Fingerprint, QuarantineStatus};
use marigold_request::{CallHead, LoadReport, Refusal, RefusalReason};
use tokio::time::Instant;

use super::backend_pool::{BackendConnection, BackendPool};
use super::in_flight::{InFlight, InFlightGuard};
use super::key_table::KeyTable;
use super::peek::peek;
use super::slots::{Slot, Slots};
use super::witnesses::Witnesses;
use super::{CrashTracker, RETRY_DELAY, RequestBody, RunResult};
use crate::peer::QuicPeers;
use crate::{BackendServer, Shared};

/// The announced backend server with its connections.
pub(super) struct Target {
    pub(super) server: BackendServer,
    pub(super) pool: Arc<BackendPool>,
}

/// The resources that an admitted request holds while it runs.
pub(super) struct Admitted {
    pub(super) slot: Slot,
    pub(super) pool: Arc<BackendPool>,
    pub(super) connection: BackendConnection,
    pub(super) in_flight: InFlightGuard,
    pub(super) address: SocketAddr,
    pub(super) fingerprint: Fingerprint,
    /// Whether the request runs exclusively.
    pub(super) exclusive: bool,
}

/// Runs requests on the local backend server, which is reached in no other way.
pub struct LocalExecutor {
    pub(super) shared: Arc<Shared>,
    pub(super) slots: Arc<Slots>,
    pub(super) key_table: Arc<KeyTable>,
    pub(super) witnesses: Arc<Witnesses>,
    pub(super) target: ArcSwapOption<Target>,
    pub(super) peers: Arc<QuicPeers>,
    pub(super) crashes: Arc<CrashTracker>,
    in_flight: Arc<InFlight>,
    /// Milliseconds from `start` to the last answer, plus one; zero before the first answer.
    last_answer: AtomicU64,
    start: Instant,
}

impl LocalExecutor {
    /// Creates the executor of a daemon whose backend server has not announced itself yet.
    #[must_use]
    pub fn new(
        shared: Arc<Shared>,
        peers: Arc<QuicPeers>,
        witnesses: Arc<Witnesses>,
        in_flight: Arc<InFlight>,
    ) -> Arc<Self> {
        let request = &shared.settings.request;
        Arc::new(Self {
            slots: Slots::new(request.queue),
            key_table: Arc::new(KeyTable::new(shared.local, request.keys)),
            witnesses,
            target: ArcSwapOption::empty(),
            crashes: CrashTracker::new(shared.local, request.quarantine),
            peers,
            in_flight,
            last_answer: AtomicU64::new(0),
            start: Instant::now(),
            shared,
        })
    }

    /// Returns the load to report to ingresses.
    #[must_use]
    pub fn load(&self) -> LoadReport {
        self.slots.load()
    }

    /// Returns when the backend server last answered a request; `None` before the first answer.
    #[must_use]
    pub fn answered_at(&self) -> Option<Instant> {
        let millis = self.last_answer.load(Ordering::Relaxed).checked_sub(1)?;
        Some(self.start + Duration::from_millis(millis))
    }

    pub(super) fn record_answer(&self) {
        let millis = u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX - 1);
        self.last_answer.store(millis + 1, Ordering::Relaxed);
    }

    /// Runs a request. Dropping the future cancels it, unless it carries a key.
    pub async fn run(self: &Arc<Self>, head: CallHead, body: RequestBody) -> RunResult {
        let deadline = Deadline::after(head.left, Instant::now());
        let (start, body) = peek(body).await;
        let fingerprint = Fingerprint::of(&head, &start);
        match head.key.clone() {
            None => self.run_plain(&head, fingerprint, body, deadline).await,
            Some(key) => {
                self.run_keyed(head, &key, fingerprint, body, deadline)
                    .await
            }
        }
    }

    async fn run_plain(
        &self,
        head: &CallHead,
        fingerprint: Fingerprint,
        body: RequestBody,
        deadline: Deadline,
    ) -> RunResult {
        match self.admit(head, fingerprint, deadline).await {
            Ok(admitted) => self.forward(admitted, head, body, deadline).await,
            Err(refusal) => RunResult::NotRun(refusal),
        }
    }

    /// Acquires the resources that a request needs before it is forwarded.
    pub(super) async fn admit(
        &self,
        head: &CallHead,
        fingerprint: Fingerprint,
        deadline: Deadline,
    ) -> Result<Admitted, Refusal> {
        let refuse = |reason| Err(Refusal::retryable(reason, RETRY_DELAY));
        let Some(in_flight) = self.in_flight.start() else {
            return refuse(RefusalReason::Draining);
        };
        if !self.shared.view.load().serving {
            return refuse(RefusalReason::NotServing);
        }
        // Retryable, since another backend server of the service may accept it.
        let Some(target) = self.target.load_full() else {
            return refuse(RefusalReason::NotServing);
        };
        if target.server.service != head.service || !*self.shared.healthy.borrow() {
            return refuse(RefusalReason::NotServing);
        }
        self.crashes.wait_until_synced().await;
        let exclusive = match self.crashes.status(&fingerprint) {
            QuarantineStatus::Clear => false,
            QuarantineStatus::Suspect => true,
            QuarantineStatus::Refused(refusal) => return Err(refusal),
        };
        let request = AdmissionRequest {
            class: head.class,
            deadline: deadline.0,
            caller: head.caller.clone(),
            exclusive,
        };
        let slot = self.slots.acquire(&request).await?;
        // The same request may have crashed a backend server during the wait.
        if let QuarantineStatus::Refused(refusal) = self.crashes.status(&fingerprint) {
            return Err(refusal);
        }
        let opened = target.pool.acquire(head.idempotent, deadline.0).await;
        let Ok(connection) = opened else {
            return refuse(RefusalReason::NoConnection);
        };
        if deadline.has_passed(Instant::now()) {
            return Err(Refusal::permanent(RefusalReason::Deadline));
        }
        Ok(Admitted {
            slot,
            address: target.server.address,
            pool: target.pool.clone(),
            connection,
            in_flight,
            fingerprint,
            exclusive,
        })
    }
}
