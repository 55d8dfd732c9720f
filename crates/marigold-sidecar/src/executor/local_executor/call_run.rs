//! One call, from its admission to its outcome.

use std::rc::Rc;
use std::time::Duration;

use marigold_dispatch::SlotRequest;
use marigold_request::RefusalReason;
use marigold_request::quarantine::{Fingerprint, QuarantineStatus};
use tokio::time::{Instant, timeout_at};
use tokio_util::sync::CancellationToken;

use super::{LocalExecutor, RESPONSE_TRANSIT_TIME, UNAVAILABLE_RETRY_DELAY, refused};
use crate::TrackedRun;
use crate::crash_tracker::TRIAL_RETRY_DELAY;
use crate::events::Severity;
use crate::executor::backend_conn::BackendConn;
use crate::executor::backend_monitor::UNREACHABLE_COOLDOWN;
use crate::executor::backend_pool::BackendPool;
use crate::executor::call_progress::{CallProgress, millis};
use crate::executor::exchange::{
    BackendRequest, ExchangeOutcome, STATUS_DEADLINE_PASSED, exchange,
};
use crate::executor::health_probes::probe_after_break;
use crate::link::{Call, CallHandler, CallId, CallOutcome, Reply, ReplyHandle};

impl LocalExecutor {
    pub(super) async fn run(
        self: Rc<Self>,
        call: Call,
        handle: ReplyHandle,
        cancelled: CancellationToken,
    ) {
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

    pub(super) async fn admit_and_run(
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
        let slot_request = slot_request(call, arrived_at);
        let expected_run = self
            .queue
            .read(|controller| controller.expected_run(&slot_request, arrived_at));
        let _work = self.options.lifecycle.open_work(expected_run);
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
                run.rejected();
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
                self.check_after_break(&pool, run);
                CallOutcome::Lost { broken: true }
            }
            Err(_) => {
                watched.timed_out(expected_run);
                CallOutcome::Lost { broken: false }
            }
        }
    }

    /// Sends a request, and applies what the response says about the backend server.
    pub(super) async fn watched_exchange(
        &self,
        pool: &Rc<BackendPool>,
        conn: BackendConn,
        request: &BackendRequest,
        expected_run: Duration,
    ) -> ExchangeOutcome {
        let watched = self.backend.silence.watch(expected_run);
        let result = exchange(pool, conn, &self.options.names, request).await;
        if result.is_sound() {
            watched.record_sound();
        }
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
    pub(super) fn start_run(&self, fingerprint: Fingerprint) -> Result<TrackedRun, Duration> {
        let is_suspect = self.crashes.status(&fingerprint) == QuarantineStatus::Suspect;
        if is_suspect && !self.backend.silence.is_alive() {
            return Err(TRIAL_RETRY_DELAY);
        }
        self.crashes.start(fingerprint)
    }

    /// Checks whether the backend server has ended, after the exchange of `run` on a connection of `pool` broke.
    pub(super) fn check_after_break(&self, pool: &Rc<BackendPool>, run: TrackedRun) {
        run.broken();
        let Some(executor) = self.myself.upgrade() else {
            return;
        };
        if self.backend.is_current(pool) && self.backend.crash_check.begin() {
            tokio::task::spawn_local(probe_after_break(executor));
        }
    }

    /// Builds the request to the backend server, or returns `None` if the deadline is too close or the backend server
    /// accepts no calls.
    pub(super) fn build_request(
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
}

fn slot_request(call: &Call, arrived_at: Instant) -> SlotRequest {
    SlotRequest {
        kind: call.kind.clone(),
        workspace: call.workspace.clone(),
        precedence: call.precedence,
        rank: call.rank,
        objective: arrived_at + call.objective,
        deadline: arrived_at + call.timeout,
    }
}
