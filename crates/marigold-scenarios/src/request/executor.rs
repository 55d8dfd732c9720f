//! The executor of a simulated daemon, which calls the production logic.

use std::sync::Arc;
use std::time::Duration;

use marigold_request::admission::{AdmissionDecision, AdmissionRequest, QueueUpdate};
use marigold_request::at_most_once::{
    BeginDecision, RequestKey, RunOutcome, StartDecision, StoredAnswer,
};
use marigold_request::drain::Phase;
use marigold_request::quarantine::{Fingerprint, QuarantineStatus};
use marigold_request::{Refusal, RefusalReason, WitnessAnswer};
use marigold_types::{Digest, Interval};

use super::mesh::{Event, LOCAL_LINK, Mesh};
use super::message::{AttemptId, AttemptResult, Message, NodeId, Request};
use super::node::{Job, Process};
use super::server::{POISON_BODY, ServerMode};

/// The timeout for a witness's answer to a start request.
const START_TIMEOUT: Duration = Duration::from_millis(500);
/// The delay before a caller may retry after a refusal that gives no better estimate.
const RETRY_AFTER: Interval = Interval::from_millis(1_000);

impl Mesh {
    /// Handles a request from an ingress; ignores duplicates of the same attempt.
    pub fn receive_request(
        &mut self,
        at: NodeId,
        from: NodeId,
        link: u64,
        id: AttemptId,
        request: Request,
    ) {
        if self.nodes[at].jobs.contains_key(&id) {
            return;
        }
        let now = self.now;
        let job = Job {
            from,
            link,
            deadline: now + request.head.left.duration(),
            fingerprint: Fingerprint::of(&request.head, request.body.as_bytes()),
            entry: None,
            ticket: None,
            permit: None,
            exclusive: false,
            run: None,
            request,
        };
        let key = job.request.key.clone();
        let digest = Digest::of(job.request.body.as_bytes());
        self.nodes[at].jobs.insert(id, job);
        self.nodes[at].drain.started();
        if let Some(key) = key {
            match self.nodes[at].executor_table.begin(&key, digest) {
                BeginDecision::Run(entry) => {
                    if let Some(job) = self.nodes[at].jobs.get_mut(&id) {
                        job.entry = Some(entry);
                    }
                }
                BeginDecision::Stored(answer) => {
                    let body = String::from_utf8_lossy(&answer.body).into_owned();
                    self.reply(
                        at,
                        id,
                        AttemptResult::Answered(answer.status, Arc::from(body)),
                    );
                    return;
                }
                // `end_job` handles the request again when the other run has ended.
                BeginDecision::Wait(_) => return,
                BeginDecision::NotRun(refusal) => {
                    self.reply(at, id, AttemptResult::NotRun(refusal));
                    return;
                }
                BeginDecision::Unknown(step) => {
                    self.reply(at, id, AttemptResult::Unknown(step));
                    return;
                }
            }
        }
        self.admit(at, id);
    }

    fn admit(&mut self, at: NodeId, id: AttemptId) {
        let now = self.now;
        let node = &mut self.nodes[at];
        let Some(job) = node.jobs.get_mut(&id) else {
            return;
        };
        if !node.drain.takes_work() {
            self.refuse(
                at,
                id,
                Refusal::retryable(RefusalReason::Draining, RETRY_AFTER),
            );
            return;
        }
        let exclusive = match node.quarantine.status(&job.fingerprint, now) {
            QuarantineStatus::Clear => false,
            QuarantineStatus::Suspect => true,
            QuarantineStatus::Refused(refusal) => {
                self.refuse(at, id, refusal);
                return;
            }
        };
        job.exclusive = exclusive;
        let admission_request = AdmissionRequest {
            class: job.request.head.class,
            deadline: job.deadline,
            caller: None,
            exclusive,
        };
        match node.admission.offer(&admission_request, now) {
            AdmissionDecision::Run(permit) => {
                job.permit = Some(permit);
                self.request_start(at, id);
            }
            AdmissionDecision::Wait(ticket) => job.ticket = Some(ticket),
            AdmissionDecision::Refuse(refusal) => self.refuse(at, id, refusal),
        }
    }

    /// Refuses or starts the queued requests that an admission update names.
    pub fn apply_queue_update(&mut self, at: NodeId, update: &QueueUpdate) {
        for dropped in &update.dropped {
            if let Some(id) = self.find_waiting_job(at, dropped.ticket) {
                self.refuse(at, id, dropped.refusal);
            }
        }
        for granted in &update.granted {
            let Some(id) = self.find_waiting_job(at, granted.ticket) else {
                continue;
            };
            if let Some(job) = self.nodes[at].jobs.get_mut(&id) {
                job.ticket = None;
                job.permit = Some(granted.permit);
                self.request_start(at, id);
            }
        }
    }

    fn find_waiting_job(
        &self,
        at: NodeId,
        ticket: marigold_request::admission::Ticket,
    ) -> Option<AttemptId> {
        let jobs = self.nodes[at].jobs.iter();
        let mut waiting = jobs.filter(|(_, job)| job.ticket == Some(ticket));
        waiting.next().map(|(id, _)| *id)
    }

    /// Asks the witness whether the request may run; a request without a key runs at once.
    fn request_start(&mut self, at: NodeId, id: AttemptId) {
        let Some(job) = self.nodes[at].jobs.get(&id) else {
            return;
        };
        let Some(key) = job.request.key.clone() else {
            self.run_on_server(at, id);
            return;
        };
        self.schedule(
            START_TIMEOUT,
            Event::StartTimeout {
                node: at,
                attempt: id,
            },
        );
        if let Some(to) = self.find(key.witness.address) {
            self.send(at, to, LOCAL_LINK, Message::Start(key));
        }
    }

    /// Handles the witness's answer to a start request.
    pub fn on_start_answer(&mut self, at: NodeId, key: &RequestKey, answer: &WitnessAnswer) {
        let jobs = self.nodes[at].jobs.iter();
        let matches_key = |job: &Job| job.entry.is_some() && job.request.key.as_ref() == Some(key);
        let ids: Vec<_> = jobs
            .filter(|(_, job)| matches_key(job))
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            self.decide_start(at, id, Some(answer));
        }
    }

    /// Handles a start request that was not answered in time.
    pub fn on_start_timeout(&mut self, at: NodeId, id: AttemptId) {
        let job = self.nodes[at].jobs.get(&id);
        if job.is_some_and(|job| job.run.is_none()) {
            self.decide_start(at, id, None);
        }
    }

    fn decide_start(&mut self, at: NodeId, id: AttemptId, answer: Option<&WitnessAnswer>) {
        let node = &mut self.nodes[at];
        let Some(entry) = node.jobs.get(&id).and_then(|job| job.entry) else {
            return;
        };
        match node.executor_table.start(entry, answer) {
            StartDecision::Run => self.run_on_server(at, id),
            StartDecision::NotRun(refusal) => self.end_job(at, id, AttemptResult::NotRun(refusal)),
            StartDecision::Ignore => {}
        }
    }

    /// Forwards a request to the backend server.
    fn run_on_server(&mut self, at: NodeId, id: AttemptId) {
        let node = &mut self.nodes[at];
        let Some(job) = node.jobs.get_mut(&id) else {
            return;
        };
        if !node.server.is_up {
            if let Some(entry) = job.entry {
                node.executor_table.finish(entry, RunOutcome::Lost);
                self.end_job(at, id, AttemptResult::Unknown("backend server is gone"));
            } else {
                let refusal = Refusal::retryable(RefusalReason::NoConnection, RETRY_AFTER);
                self.end_job(at, id, AttemptResult::NotRun(refusal));
            }
            return;
        }
        job.run = Some(node.quarantine.record_start(job.fingerprint, job.exclusive));
        node.server
            .running
            .insert(id, Arc::clone(&job.request.name));
        let (name, idempotent) = (Arc::clone(&job.request.name), job.request.head.idempotent);
        let (time, incarnation) = (node.server.response_time, node.server.incarnation);
        self.schedule(
            time,
            Event::ServerFinished {
                node: at,
                incarnation,
                attempt: id,
            },
        );
        if let Err(violation) =
            self.invariants
                .record_run(&name, Arc::from(format!("d{}", at + 1)), idempotent)
        {
            self.violation = Some(violation);
        }
    }

    /// Handles the end of a run, as reported by the backend server.
    pub fn on_server_finished(&mut self, at: NodeId, incarnation: u32, id: AttemptId) {
        let now = self.now;
        let node = &mut self.nodes[at];
        if node.process == Process::Down || node.server.incarnation != incarnation {
            return;
        }
        node.server.running.remove(&id);
        let Some(job) = node.jobs.get(&id) else {
            return;
        };
        let Some(run) = job.run else {
            return;
        };
        if &*job.request.body == POISON_BODY {
            self.crash_server(at);
            return;
        }
        let entry = job.entry;
        let body: Arc<str> = Arc::from(format!("{} done", job.request.name));
        let (attempt_result, status) = match node.server.mode {
            ServerMode::Succeed => (AttemptResult::Answered(200, Arc::clone(&body)), Some(200)),
            ServerMode::Fail => (AttemptResult::Answered(500, Arc::clone(&body)), Some(500)),
            ServerMode::Truncate => (AttemptResult::Unknown("answer cut off"), None),
        };
        match status {
            Some(_) => node.quarantine.record_answer(run, now),
            None => node.quarantine.record_abandoned(run, now),
        }
        if let Some(entry) = entry {
            let outcome = status.map_or(RunOutcome::Lost, |status| {
                let headers = Vec::new();
                let body = body.as_bytes().into();
                RunOutcome::Answered(StoredAnswer {
                    status,
                    headers,
                    body,
                })
            });
            node.executor_table.finish(entry, outcome);
        }
        self.end_job(at, id, attempt_result);
        self.share_quarantine_updates(at);
    }

    /// Ends the runs that were in progress when the backend server crashed.
    pub fn on_server_crash(&mut self, at: NodeId) {
        let now = self.now;
        let node = &mut self.nodes[at];
        node.quarantine.record_crash(now);
        let running = node.jobs.iter().filter(|(_, job)| job.run.is_some());
        let ids: Vec<_> = running.map(|(id, _)| *id).collect();
        for id in ids {
            let node = &mut self.nodes[at];
            if let Some(entry) = node.jobs.get(&id).and_then(|job| job.entry) {
                node.executor_table.finish(entry, RunOutcome::Lost);
            }
            self.end_job(at, id, AttemptResult::Unknown("backend server crashed"));
        }
        self.share_quarantine_updates(at);
    }

    /// Sends quarantine updates to the other daemons.
    fn share_quarantine_updates(&mut self, at: NodeId) {
        let updates = self.nodes[at].quarantine.take_updates(self.now);
        if updates.is_empty() {
            return;
        }
        for to in 0..self.nodes.len() {
            if to != at && self.links.reaches(at, to) && self.nodes[to].process == Process::Up {
                self.nodes[to].quarantine.receive(&updates, self.now);
                self.nodes[to].quarantine.take_updates(self.now);
            }
        }
    }

    /// Refuses a request that has not run, and records the refusal under its key.
    fn refuse(&mut self, at: NodeId, id: AttemptId, refusal: Refusal) {
        let node = &mut self.nodes[at];
        let entry = node.jobs.get(&id).and_then(|job| job.entry);
        let is_not_run = entry.is_none_or(|entry| node.executor_table.refuse(entry, refusal));
        let attempt_result = if is_not_run {
            AttemptResult::NotRun(refusal)
        } else {
            AttemptResult::Unknown("refused late")
        };
        self.end_job(at, id, attempt_result);
    }

    /// Ends a job, releases its slot and handles the requests that wait for the same key.
    fn end_job(&mut self, at: NodeId, id: AttemptId, attempt_result: AttemptResult) {
        let key = self.nodes[at]
            .jobs
            .get(&id)
            .and_then(|job| job.request.key.clone());
        self.reply(at, id, attempt_result);
        let Some(key) = key else {
            return;
        };
        let jobs = self.nodes[at].jobs.iter();
        let matches_key = |job: &Job| job.entry.is_none() && job.request.key.as_ref() == Some(&key);
        let ids: Vec<_> = jobs
            .filter(|(_, job)| matches_key(job))
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            if let Some(job) = self.nodes[at].jobs.remove(&id) {
                self.nodes[at].drain.finished(self.now);
                self.receive_request(at, job.from, job.link, id, job.request);
            }
        }
    }

    fn reply(&mut self, at: NodeId, id: AttemptId, attempt_result: AttemptResult) {
        let now = self.now;
        let node = &mut self.nodes[at];
        let Some(job) = node.jobs.remove(&id) else {
            return;
        };
        node.drain.finished(now);
        if let Some(ticket) = job.ticket {
            node.admission.cancel(ticket);
        }
        let update = job.permit.map(|permit| node.admission.release(permit, now));
        let reply = Message::Reply(id, attempt_result, node.admission.load());
        self.send(at, job.from, job.link, reply);
        if let Some(update) = update {
            self.apply_queue_update(at, &update);
        }
    }

    /// Advances a graceful shutdown.
    pub fn tick_drain(&mut self, at: NodeId) {
        let now = self.now;
        let node = &mut self.nodes[at];
        let after = node.drain.tick(now);
        if after == node.reported_phase {
            return;
        }
        node.reported_phase = after;
        self.output.push(match after {
            Phase::Serving => return,
            Phase::Draining => format!("d{} is leaving", at + 1),
            Phase::Refusing => format!("d{} takes no new work", at + 1),
            Phase::Exit(code) => format!("d{} exits with code {}", at + 1, code.code()),
        });
        if matches!(after, Phase::Exit(_)) {
            self.stop(at);
        }
    }

    /// Stops a daemon and its backend server; pending calls at it end as *unknown*.
    pub fn stop(&mut self, at: NodeId) {
        self.nodes[at].process = Process::Down;
        self.nodes[at].jobs.clear();
        self.nodes[at].server.crash();
        self.links.close_all(at);
        let waiting = self
            .calls
            .iter()
            .filter(|(_, call)| call.at == at && call.result.is_none());
        let names: Vec<_> = waiting.map(|(name, _)| Arc::clone(name)).collect();
        for name in names {
            self.report_result(&name, &AttemptResult::Unknown("daemon is gone"));
        }
    }
}
