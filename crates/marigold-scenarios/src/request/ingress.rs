//! The ingress of a simulated daemon, which calls the production logic.

use std::sync::Arc;
use std::time::Duration;

use marigold_control::Endpoint;
use marigold_request::at_most_once::{ExecutorReply, Resolution};
use marigold_request::burn::CallEnd;
use marigold_request::quarantine::{Fingerprint, QuarantineStatus};
use marigold_request::retry::{Attempt, Decision, combined_outcome};
use marigold_request::router::CallReport;
use marigold_request::{LoadReport, Refusal, RefusalReason, WitnessAnswer};
use marigold_types::{Address, Interval, Outcome};

use super::call::{Call, CallResult, CurrentAttempt};
use super::invariants::InvariantChecker;
use super::mesh::{Event, LOCAL_LINK, Mesh, desk_service};
use super::message::{AttemptId, AttemptResult, Message, NodeId, Request};
use super::node::Process;

/// The timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The time after which a stopped daemon's host refuses a connection.
const CONNECTION_REFUSAL_TIME: Duration = Duration::from_millis(2);
/// The timeout for a witness's answer to a seal request.
const SEAL_TIMEOUT: Duration = Duration::from_millis(500);
/// The delay before a caller may retry a request that could not be sent.
const RETRY_AFTER: Interval = Interval::from_millis(1_000);

impl Mesh {
    /// Accepts a request from its caller.
    pub fn accept_call(&mut self, name: &Arc<str>, call: Call) {
        let at = call.at;
        let left = call.deadline.left(self.now).duration();
        self.calls.insert(Arc::clone(name), call);
        self.schedule(
            left,
            Event::Deadline {
                call: Arc::clone(name),
            },
        );
        let node = &mut self.nodes[at];
        node.drain.started();
        if let Err(refusal) = node.limiter.allow(&desk_service(), None, self.now) {
            self.end_call(name, &AttemptResult::NotRun(refusal));
            return;
        }
        let Some(call) = self.calls.get_mut(name) else {
            return;
        };
        let fingerprint = Fingerprint::of(&call.request.head, call.request.body.as_bytes());
        match node.quarantine.status(&fingerprint, self.now) {
            QuarantineStatus::Clear => {}
            QuarantineStatus::Suspect => call.is_suspect = true,
            QuarantineStatus::Refused(refusal) => {
                self.end_call(name, &AttemptResult::NotRun(refusal));
                return;
            }
        }
        node.retry.started(call.request.head.attempt);
        self.start_attempt(name);
    }

    /// Sends a request to the executor of its key or, without a key, to one that the router picks.
    fn start_attempt(&mut self, name: &Arc<str>) {
        let Some(call) = self.calls.get(name) else {
            return;
        };
        let (at, tried, last_refusal) = (call.at, call.tried.clone(), call.last_refusal);
        let chosen = match &call.request.key {
            Some(key) => Ok(key.executor.address),
            None => self.pick_server(at, &tried),
        };
        match chosen {
            Ok(address) => self.send_call(name, address),
            Err(refusal) => {
                let reported = last_refusal.unwrap_or(refusal);
                self.end_call(name, &AttemptResult::NotRun(reported));
            }
        }
    }

    fn pick_server(&mut self, at: NodeId, tried: &[Address]) -> Result<Address, Refusal> {
        let router = &mut self.nodes[at].router;
        let chosen: Endpoint = router.pick(&self.view, &desk_service(), tried, self.now)?;
        router.started(&chosen, self.now);
        Ok(chosen.instance.address)
    }

    fn send_call(&mut self, name: &Arc<str>, address: Address) {
        let Some(to) = self.find(address) else {
            return;
        };
        let id = self.attempts.len() as AttemptId + 1;
        self.attempts.insert(id, Arc::clone(name));
        let Some(call) = self.calls.get_mut(name) else {
            return;
        };
        call.request.head.left = call.deadline.left(self.now);
        call.request.head.attempt = call.attempt_number;
        let (at, idempotent) = (call.at, call.request.head.idempotent);
        let message = Message::Call(id, Box::new(call.request.clone()));
        let link = if at == to {
            Some(LOCAL_LINK)
        } else {
            self.connect(at, to, idempotent, id)
        };
        if let Some(call) = self.calls.get_mut(name) {
            let link = link.unwrap_or(u64::MAX);
            call.attempt = Some(CurrentAttempt { id, to, link });
        }
        if let Some(link) = link {
            self.send(at, to, link, message);
        }
    }

    /// Returns a connection that may carry the request; if none can be opened, returns `None` and
    /// schedules [`Event::SendFailed`].
    fn connect(&mut self, at: NodeId, to: NodeId, idempotent: bool, id: AttemptId) -> Option<u64> {
        let now = self.now;
        if let Some(link) = self.links.get(at, to)
            && link.monitor.may_carry(idempotent, now)
        {
            link.monitor.sent(now);
            return Some(link.number);
        }
        let wait = match self.nodes[to].process {
            Process::Down => Some(CONNECTION_REFUSAL_TIME),
            Process::Paused => Some(CONNECT_TIMEOUT),
            Process::Up => (!self.links.reaches(at, to)).then_some(CONNECT_TIMEOUT),
        };
        if let Some(wait) = wait {
            self.schedule(wait, Event::SendFailed { attempt: id });
            return None;
        }
        let link = self.links.open(at, to, now);
        link.monitor.sent(now);
        Some(link.number)
    }

    /// Ends an attempt that could not be sent.
    pub fn on_send_failed(&mut self, attempt: AttemptId) {
        let refusal = Refusal::retryable(RefusalReason::Unreachable, RETRY_AFTER);
        self.on_reply(attempt, &AttemptResult::NotRun(refusal), None);
    }

    /// Handles the result of an attempt; ignores results of attempts that have already ended.
    pub fn on_reply(
        &mut self,
        id: AttemptId,
        attempt_result: &AttemptResult,
        load: Option<LoadReport>,
    ) {
        let Some(name) = self.attempts.get(&id).cloned() else {
            return;
        };
        let Some(call) = self.calls.get_mut(&name) else {
            return;
        };
        let Some(current) = call.attempt.filter(|attempt| attempt.id == id) else {
            return;
        };
        call.attempt = None;
        call.tried.push(self.nodes[current.to].instance.address);
        if let Some(link) = self.links.get(call.at, current.to) {
            link.monitor.ended();
        }
        self.update_router(&name, current.to, attempt_result, load);
        match (attempt_result, self.calls[&name].request.key.is_some()) {
            (AttemptResult::Answered(..), _) => self.report_result(&name, attempt_result),
            (_, true) => self.resolve_keyed(&name, attempt_result),
            (_, false) => self.retry_or_end(&name, attempt_result),
        }
    }

    fn update_router(
        &mut self,
        name: &Arc<str>,
        to: NodeId,
        attempt_result: &AttemptResult,
        load: Option<LoadReport>,
    ) {
        let call = &self.calls[name];
        let result = CallResult::new(attempt_result, call.started_at, self.now);
        let report = CallReport {
            outcome: result.outcome,
            status: result.status,
            refusal: result.refusal.map(|refusal| refusal.reason),
            load,
            elapsed: self.now.saturating_duration_since(call.started_at),
        };
        let address = self.nodes[to].instance.address;
        let router = &mut self.nodes[call.at].router;
        router.finished(address, &report, self.now);
    }

    /// Retries a request without a key, or reports its result.
    fn retry_or_end(&mut self, name: &Arc<str>, attempt_result: &AttemptResult) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(name) else {
            return;
        };
        let (outcome, refusal) = match attempt_result {
            AttemptResult::Answered(..) => (Outcome::Answered, None),
            AttemptResult::NotRun(refusal) => {
                call.last_refusal = Some(*refusal);
                (Outcome::NotRun, Some(*refusal))
            }
            AttemptResult::Unknown(step) => {
                call.unknown_step = Some(step);
                (Outcome::Unknown, None)
            }
        };
        let attempt = Attempt {
            number: call.attempt_number,
            inherited: 0,
            outcome,
            refusal,
            idempotent: call.request.head.idempotent && !call.is_suspect,
            keyed: false,
            left: call.deadline.left(now),
        };
        call.attempt_number += 1;
        match self.nodes[call.at].retry.decide(&attempt) {
            Decision::Retry => self.start_attempt(name),
            Decision::GiveUp => self.end_call(name, attempt_result),
        }
    }

    /// Ends a call. If the request carries a key, asks its witness to seal the key first.
    pub fn end_call(&mut self, name: &Arc<str>, attempt_result: &AttemptResult) {
        let Some(call) = self.calls.get(name) else {
            return;
        };
        if call.request.key.is_some() {
            let reason = match attempt_result {
                AttemptResult::NotRun(refusal) => refusal.reason,
                _ => RefusalReason::Deadline,
            };
            self.apply_resolution(
                name,
                Resolution::from_executor_reply(ExecutorReply::Missing(reason)),
                "no word",
            );
            return;
        }
        // An earlier attempt may have run, even if the last one did not.
        let result = CallResult::new(attempt_result, call.started_at, self.now);
        let earlier = call.unknown_step.map(|_| Outcome::Unknown);
        let step = call.unknown_step.unwrap_or("attempts");
        if combined_outcome(earlier, result.outcome) == Outcome::Unknown
            && result.outcome == Outcome::NotRun
        {
            self.report_result(name, &AttemptResult::Unknown(step));
        } else {
            self.report_result(name, attempt_result);
        }
    }

    fn resolve_keyed(&mut self, name: &Arc<str>, attempt_result: &AttemptResult) {
        let (reply, step) = match attempt_result {
            AttemptResult::Answered(..) => (ExecutorReply::Answered, "answered"),
            AttemptResult::NotRun(refusal) if refusal.reason == RefusalReason::Unreachable => (
                ExecutorReply::Missing(refusal.reason),
                "executor unreachable",
            ),
            AttemptResult::NotRun(refusal) => (ExecutorReply::NotRun(*refusal), "refused"),
            AttemptResult::Unknown(step) => (ExecutorReply::Unknown, *step),
        };
        self.apply_resolution(name, Resolution::from_executor_reply(reply), step);
    }

    fn apply_resolution(&mut self, name: &Arc<str>, resolution: Resolution, step: &'static str) {
        match resolution {
            Resolution::Answered => {}
            Resolution::NotRun(refusal) => {
                self.report_result(name, &AttemptResult::NotRun(refusal));
            }
            Resolution::Unknown => self.report_result(name, &AttemptResult::Unknown(step)),
            Resolution::AskWitness(reason) => self.request_seal(name, reason),
        }
    }

    fn request_seal(&mut self, name: &Arc<str>, reason: RefusalReason) {
        let Some(call) = self.calls.get_mut(name) else {
            return;
        };
        // The caller does not wait for an answer that arrives after the deadline.
        let left = call.deadline.left(self.now).duration();
        if left.is_zero() {
            self.report_result(name, &AttemptResult::Unknown("deadline"));
            return;
        }
        call.seal_reason = Some(reason);
        let (at, key) = (call.at, call.request.key.clone());
        self.schedule(
            SEAL_TIMEOUT.min(left),
            Event::SealTimeout {
                call: Arc::clone(name),
            },
        );
        let Some(key) = key else {
            return;
        };
        if let Some(to) = self.find(key.witness.address) {
            let seal = Message::Seal(Arc::clone(name), key);
            self.send(at, to, LOCAL_LINK, seal);
        }
    }

    /// Handles the witness's answer to a seal request; `None` if none came in time.
    pub fn on_seal_answer(&mut self, name: &Arc<str>, answer: Option<&WitnessAnswer>) {
        let Some(call) = self.calls.get_mut(name) else {
            return;
        };
        let Some(reason) = call.seal_reason.take() else {
            return;
        };
        let step = if answer.is_some() {
            "it was started"
        } else {
            "witness silent"
        };
        self.apply_resolution(name, Resolution::from_seal_answer(answer, reason), step);
    }

    /// Ends a call whose deadline has passed, unless its key is being sealed.
    pub fn on_deadline(&mut self, name: &Arc<str>) {
        let Some(call) = self.calls.get_mut(name) else {
            return;
        };
        if call.result.is_some() || call.seal_reason.is_some() {
            return;
        }
        if call.attempt.is_some() {
            call.unknown_step = Some("deadline");
        }
        call.attempt = None;
        self.end_call(name, &AttemptResult::Unknown("deadline"));
    }

    /// Reports the result to the caller, unless one was reported before.
    pub fn report_result(&mut self, name: &Arc<str>, attempt_result: &AttemptResult) {
        let now = self.now;
        let Some(call) = self
            .calls
            .get_mut(name)
            .filter(|call| call.result.is_none())
        else {
            return;
        };
        let result = CallResult::new(attempt_result, call.started_at, now);
        let line = format!(
            "{name} {} (d{}, {})",
            result.detail,
            call.at + 1,
            result.elapsed
        );
        call.attempt = None;
        call.seal_reason = None;
        call.result = Some(result.clone());
        let (at, class, request) = (call.at, call.request.head.class, call.request.clone());
        let end = CallEnd {
            outcome: result.outcome,
            status: result.status,
            refusal: result.refusal.map(|refusal| refusal.reason),
            elapsed: result.elapsed.duration(),
        };
        self.nodes[at].burn.count(&desk_service(), class, &end, now);
        self.nodes[at].drain.finished(now);
        self.output.push(line);
        self.check_result(&request, attempt_result, &result);
    }

    fn check_result(
        &mut self,
        request: &Request,
        attempt_result: &AttemptResult,
        result: &CallResult,
    ) {
        // These refusals reject the key text for this request. They say nothing about the request
        // that the key belongs to, which may have run.
        let is_key_error = result.refusal.is_some_and(|refusal| {
            let reason = refusal.reason;
            matches!(reason, RefusalReason::KeyInvalid | RefusalReason::KeyReused)
        });
        if is_key_error {
            return;
        }
        let checked = match attempt_result {
            AttemptResult::Answered(_, body) => InvariantChecker::check_answer(&request.name, body),
            _ => self
                .invariants
                .record_outcome(&request.name, result.outcome),
        };
        if let Err(violation) = checked {
            self.violation = Some(violation);
        }
    }
}
