//! The executor of a daemon, around the real decisions.

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

use super::mesh::{Event, LOCAL, Mesh};
use super::message::{AttemptId, Message, NodeId, Ran, Request};
use super::node::{Job, Process};
use super::server::{Mode, POISON};

/// How long a witness may take over a start.
const START: Duration = Duration::from_millis(500);
/// When a caller comes back after a refusal for which no better time is known.
const RETRY: Interval = Interval::from_millis(1_000);

impl Mesh {
    /// Takes a request from an ingress.
    pub fn take(&mut self, at: NodeId, from: NodeId, link: u64, id: AttemptId, request: Request) {
        if self.nodes[at].jobs.contains_key(&id) {
            return;
        }
        let now = self.now;
        let job = Job {
            from,
            link,
            deadline: now + request.head.left.duration(),
            print: Fingerprint::of(&request.head, request.body.as_bytes()),
            entry: None,
            ticket: None,
            permit: None,
            run: None,
            request,
        };
        let key = job.request.key.clone();
        let digest = Digest::of(job.request.body.as_bytes());
        self.nodes[at].jobs.insert(id, job);
        self.nodes[at].drain.started();
        if let Some(key) = key {
            match self.nodes[at].table.begin(&key, digest) {
                BeginDecision::Run(entry) => {
                    if let Some(job) = self.nodes[at].jobs.get_mut(&id) {
                        job.entry = Some(entry);
                    }
                }
                BeginDecision::Stored(answer) => {
                    let body = String::from_utf8_lossy(&answer.body).into_owned();
                    self.reply(at, id, Ran::Answered(answer.status, Arc::from(body)));
                    return;
                }
                // It is looked at again when the run has ended.
                BeginDecision::Wait(_) => return,
                BeginDecision::NotRun(refusal) => {
                    self.reply(at, id, Ran::NotRun(refusal));
                    return;
                }
                BeginDecision::Unknown(step) => {
                    self.reply(at, id, Ran::Unknown(step));
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
            self.refuse(at, id, Refusal::retryable(RefusalReason::Draining, RETRY));
            return;
        }
        let exclusive = match node.quarantine.status(&job.print, now) {
            QuarantineStatus::Clear => false,
            QuarantineStatus::Suspect => true,
            QuarantineStatus::Refused(refusal) => {
                self.refuse(at, id, refusal);
                return;
            }
        };
        let ask = AdmissionRequest {
            class: job.request.head.class,
            deadline: job.deadline,
            caller: None,
            exclusive,
        };
        match node.gate.offer(&ask, now) {
            AdmissionDecision::Run(permit) => {
                job.permit = Some(permit);
                self.ask_witness(at, id);
            }
            AdmissionDecision::Wait(ticket) => job.ticket = Some(ticket),
            AdmissionDecision::Refuse(refusal) => self.refuse(at, id, refusal),
        }
    }

    /// Follows what a free slot or the time has set in motion.
    pub fn move_on(&mut self, at: NodeId, moves: &QueueUpdate) {
        for dropped in &moves.dropped {
            if let Some(id) = self.waits_under(at, dropped.ticket) {
                self.refuse(at, id, dropped.refusal);
            }
        }
        for granted in &moves.granted {
            let Some(id) = self.waits_under(at, granted.ticket) else {
                continue;
            };
            if let Some(job) = self.nodes[at].jobs.get_mut(&id) {
                job.ticket = None;
                job.permit = Some(granted.permit);
                self.ask_witness(at, id);
            }
        }
    }

    fn waits_under(
        &self,
        at: NodeId,
        ticket: marigold_request::admission::Ticket,
    ) -> Option<AttemptId> {
        let jobs = self.nodes[at].jobs.iter();
        let mut waiting = jobs.filter(|(_, job)| job.ticket == Some(ticket));
        waiting.next().map(|(id, _)| *id)
    }

    /// Asks the witness of a key before its request runs; one without a key runs at once.
    fn ask_witness(&mut self, at: NodeId, id: AttemptId) {
        let Some(job) = self.nodes[at].jobs.get(&id) else {
            return;
        };
        let Some(key) = job.request.key.clone() else {
            self.hand_on(at, id);
            return;
        };
        self.plan(
            START,
            Event::StartLate {
                node: at,
                attempt: id,
            },
        );
        if let Some(to) = self.find(key.witness.address) {
            self.send(at, to, LOCAL, Message::Start(key));
        }
    }

    /// Takes a witness's answer.
    pub fn started(&mut self, at: NodeId, key: &RequestKey, answer: &WitnessAnswer) {
        let jobs = self.nodes[at].jobs.iter();
        let is_of = |job: &Job| job.entry.is_some() && job.request.key.as_ref() == Some(key);
        let ids: Vec<_> = jobs
            .filter(|(_, job)| is_of(job))
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            self.decide_start(at, id, Some(answer));
        }
    }

    /// Takes in that no answer came.
    pub fn start_late(&mut self, at: NodeId, id: AttemptId) {
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
        match node.table.start(entry, answer) {
            StartDecision::Run => self.hand_on(at, id),
            StartDecision::NotRun(refusal) => self.end(at, id, Ran::NotRun(refusal)),
            StartDecision::Ignore => {}
        }
    }

    /// Hands a request to the backend server.
    fn hand_on(&mut self, at: NodeId, id: AttemptId) {
        let node = &mut self.nodes[at];
        let Some(job) = node.jobs.get_mut(&id) else {
            return;
        };
        if !node.server.up {
            if let Some(entry) = job.entry {
                node.table.finish(entry, RunOutcome::Lost);
                self.end(at, id, Ran::Unknown("backend server is gone"));
            } else {
                let refusal = Refusal::retryable(RefusalReason::NoConnection, RETRY);
                self.end(at, id, Ran::NotRun(refusal));
            }
            return;
        }
        job.run = Some(node.quarantine.record_start(job.print));
        node.server
            .running
            .insert(id, Arc::clone(&job.request.name));
        let (name, idempotent) = (Arc::clone(&job.request.name), job.request.head.idempotent);
        let (time, life) = (node.server.time, node.server.life);
        self.plan(
            time,
            Event::ServerEnd {
                node: at,
                life,
                attempt: id,
            },
        );
        if let Err(broken) = self
            .watch
            .ran(&name, Arc::from(format!("d{}", at + 1)), idempotent)
        {
            self.broken = Some(broken);
        }
    }

    /// Takes the end of a run from the backend server.
    pub fn server_end(&mut self, at: NodeId, life: u32, id: AttemptId) {
        let now = self.now;
        let node = &mut self.nodes[at];
        if node.process == Process::Down || node.server.life != life {
            return;
        }
        node.server.running.remove(&id);
        let Some(job) = node.jobs.get(&id) else {
            return;
        };
        let Some(run) = job.run else {
            return;
        };
        if &*job.request.body == POISON {
            self.crash_server(at);
            return;
        }
        let entry = job.entry;
        let body: Arc<str> = Arc::from(format!("{} done", job.request.name));
        let (ran, finish) = match node.server.mode {
            Mode::Works => (Ran::Answered(200, Arc::clone(&body)), Some(200)),
            Mode::Fails => (Ran::Answered(500, Arc::clone(&body)), Some(500)),
            Mode::Cut => (Ran::Unknown("answer cut off"), None),
        };
        match finish {
            Some(_) => node.quarantine.record_answer(run, now),
            None => node.quarantine.record_end(run),
        }
        if let Some(entry) = entry {
            let finish = finish.map_or(RunOutcome::Lost, |status| {
                let headers = Vec::new();
                let body = body.as_bytes().into();
                RunOutcome::Answered(StoredAnswer {
                    status,
                    headers,
                    body,
                })
            });
            node.table.finish(entry, finish);
        }
        self.end(at, id, ran);
        self.share_sentences(at);
    }

    /// Ends everything that the backend server ran when it crashed.
    pub fn server_lost(&mut self, at: NodeId) {
        let now = self.now;
        let node = &mut self.nodes[at];
        node.quarantine.record_crash(now);
        let running = node.jobs.iter().filter(|(_, job)| job.run.is_some());
        let ids: Vec<_> = running.map(|(id, _)| *id).collect();
        for id in ids {
            let node = &mut self.nodes[at];
            if let Some(entry) = node.jobs.get(&id).and_then(|job| job.entry) {
                node.table.finish(entry, RunOutcome::Lost);
            }
            self.end(at, id, Ran::Unknown("backend server crashed"));
        }
        self.share_sentences(at);
    }

    /// Tells the other daemons of requests that crash backend servers.
    fn share_sentences(&mut self, at: NodeId) {
        let news = self.nodes[at].quarantine.take_updates(self.now);
        if news.is_empty() {
            return;
        }
        for to in 0..self.nodes.len() {
            if to != at && self.links.reaches(at, to) && self.nodes[to].process == Process::Up {
                self.nodes[to].quarantine.receive(&news, self.now);
                self.nodes[to].quarantine.take_updates(self.now);
            }
        }
    }

    /// Refuses a request that has not run, and remembers that under its key.
    fn refuse(&mut self, at: NodeId, id: AttemptId, refusal: Refusal) {
        let node = &mut self.nodes[at];
        let entry = node.jobs.get(&id).and_then(|job| job.entry);
        let is_proven = entry.is_none_or(|entry| node.table.refuse(entry, refusal));
        let ran = if is_proven {
            Ran::NotRun(refusal)
        } else {
            Ran::Unknown("refused late")
        };
        self.end(at, id, ran);
    }

    /// Ends a job, frees its slot and answers all that wait for the same key.
    fn end(&mut self, at: NodeId, id: AttemptId, ran: Ran) {
        let key = self.nodes[at]
            .jobs
            .get(&id)
            .and_then(|job| job.request.key.clone());
        self.reply(at, id, ran);
        let Some(key) = key else {
            return;
        };
        let jobs = self.nodes[at].jobs.iter();
        let is_of = |job: &Job| job.entry.is_none() && job.request.key.as_ref() == Some(&key);
        let ids: Vec<_> = jobs
            .filter(|(_, job)| is_of(job))
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            if let Some(job) = self.nodes[at].jobs.remove(&id) {
                self.nodes[at].drain.finished(self.now);
                self.take(at, job.from, job.link, id, job.request);
            }
        }
    }

    fn reply(&mut self, at: NodeId, id: AttemptId, ran: Ran) {
        let now = self.now;
        let node = &mut self.nodes[at];
        let Some(job) = node.jobs.remove(&id) else {
            return;
        };
        node.drain.finished(now);
        if let Some(ticket) = job.ticket {
            node.gate.cancel(ticket);
        }
        let moves = job.permit.map(|permit| node.gate.release(permit, now));
        let reply = Message::Reply(id, ran, node.gate.load());
        self.send(at, job.from, job.link, reply);
        if let Some(moves) = moves {
            self.move_on(at, &moves);
        }
    }

    /// Moves a shutdown on.
    pub fn tick_drain(&mut self, at: NodeId) {
        let now = self.now;
        let node = &mut self.nodes[at];
        let after = node.drain.tick(now);
        if after == node.shown {
            return;
        }
        node.shown = after;
        self.lines.push(match after {
            Phase::Serving => return,
            Phase::Leaving => format!("d{} is leaving", at + 1),
            Phase::Finishing => format!("d{} takes no new work", at + 1),
            Phase::Exit(code) => format!("d{} exits with code {}", at + 1, code.code()),
        });
        if matches!(after, Phase::Exit(_)) {
            self.stop(at);
        }
    }

    /// Ends a daemon's process with all that it holds.
    pub fn stop(&mut self, at: NodeId) {
        self.nodes[at].process = Process::Down;
        self.nodes[at].jobs.clear();
        self.nodes[at].server.crash();
        self.links.close_all(at);
        let waiting = self
            .calls
            .iter()
            .filter(|(_, call)| call.at == at && call.told.is_none());
        let names: Vec<_> = waiting.map(|(name, _)| Arc::clone(name)).collect();
        for name in names {
            self.tell(&name, &Ran::Unknown("daemon is gone"));
        }
    }
}
