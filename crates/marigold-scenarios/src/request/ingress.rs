//! The callers' side of a daemon, around the real decisions.

use std::sync::Arc;
use std::time::Duration;

use marigold_control::Endpoint;
use marigold_request::at_most_once::{ExecutorReply, Resolution};
use marigold_request::burn::CallEnd;
use marigold_request::quarantine::{Fingerprint, QuarantineStatus};
use marigold_request::retry::{Attempt, Decision, combined_outcome};
use marigold_request::router::CallReport;
use marigold_request::{LoadReport, Refusal, RefusalReason, WitnessAnswer};
use marigold_types::{Address, Outcome};

use super::call::{Attempting, Call, Told};
use super::mesh::{Event, LOCAL, Mesh, desk};
use super::message::{AttemptId, Message, NodeId, Ran, Request};
use super::node::Process;
use super::watch::Watch;

/// How long a connection is tried.
const CONNECT: Duration = Duration::from_secs(1);
/// How long a refused connection takes to be refused.
const REFUSED: Duration = Duration::from_millis(2);
/// How long a witness may take over a seal.
const SEAL: Duration = Duration::from_millis(500);

impl Mesh {
    /// Takes a request from its caller.
    pub fn take_call(&mut self, name: &Arc<str>, call: Call) {
        let at = call.at;
        let left = call.deadline.left(self.now).duration();
        self.calls.insert(Arc::clone(name), call);
        self.plan(
            left,
            Event::Deadline {
                call: Arc::clone(name),
            },
        );
        let node = &mut self.nodes[at];
        node.drain.started();
        if let Err(refusal) = node.limiter.allow(&desk(), None, self.now) {
            self.conclude(name, &Ran::NotRun(refusal));
            return;
        }
        let Some(call) = self.calls.get_mut(name) else {
            return;
        };
        let print = Fingerprint::of(&call.request.head, call.request.body.as_bytes());
        match node.quarantine.status(&print, self.now) {
            QuarantineStatus::Clear => {}
            QuarantineStatus::Suspect => call.is_suspect = true,
            QuarantineStatus::Refused(refusal) => {
                self.conclude(name, &Ran::NotRun(refusal));
                return;
            }
        }
        node.retry.started(call.request.head.attempt);
        self.attempt(name);
    }

    /// Sends a request to the executor of its key, or to one that routing chooses.
    fn attempt(&mut self, name: &Arc<str>) {
        let Some(call) = self.calls.get(name) else {
            return;
        };
        let (at, tried, refused) = (call.at, call.tried.clone(), call.refused);
        let chosen = match &call.request.key {
            Some(key) => Ok(key.executor.address),
            None => self.choose(at, &tried),
        };
        match chosen {
            Ok(address) => self.send_call(name, address),
            Err(refusal) => {
                let said = refused.unwrap_or(refusal);
                self.conclude(name, &Ran::NotRun(said));
            }
        }
    }

    fn choose(&mut self, at: NodeId, tried: &[Address]) -> Result<Address, Refusal> {
        let router = &mut self.nodes[at].router;
        let chosen: Endpoint = router.pick(&self.view, &desk(), tried, self.now)?;
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
        call.request.head.attempt = call.number;
        let (at, idempotent) = (call.at, call.request.head.idempotent);
        let message = Message::Call(id, Box::new(call.request.clone()));
        let link = if at == to {
            Some(LOCAL)
        } else {
            self.connect(at, to, idempotent, id)
        };
        if let Some(call) = self.calls.get_mut(name) {
            let link = link.unwrap_or(u64::MAX);
            call.attempt = Some(Attempting { id, to, link });
        }
        if let Some(link) = link {
            self.send(at, to, link, message);
        }
    }

    /// Returns a connection that may carry the request, or plans that none can be opened.
    fn connect(&mut self, at: NodeId, to: NodeId, idempotent: bool, id: AttemptId) -> Option<u64> {
        let now = self.now;
        if let Some(link) = self.links.get(at, to)
            && link.monitor.may_carry(idempotent, now)
        {
            link.monitor.sent(now);
            return Some(link.number);
        }
        let wait = match self.nodes[to].process {
            Process::Down => Some(REFUSED),
            Process::Paused => Some(CONNECT),
            Process::Up => (!self.links.reaches(at, to)).then_some(CONNECT),
        };
        if let Some(wait) = wait {
            self.plan(wait, Event::NotSent { attempt: id });
            return None;
        }
        let link = self.links.open(at, to, now);
        link.monitor.sent(now);
        Some(link.number)
    }

    /// Takes in that an attempt could not be sent.
    pub fn not_sent(&mut self, attempt: AttemptId) {
        let refusal = Refusal::retryable(RefusalReason::Unreachable, RETRY);
        self.replied(attempt, &Ran::NotRun(refusal), None);
    }

    /// Takes the end of an attempt; a late or second one changes nothing.
    pub fn replied(&mut self, id: AttemptId, ran: &Ran, load: Option<LoadReport>) {
        let Some(name) = self.attempts.get(&id).cloned() else {
            return;
        };
        let Some(call) = self.calls.get_mut(&name) else {
            return;
        };
        let Some(attempting) = call.attempt.filter(|attempt| attempt.id == id) else {
            return;
        };
        call.attempt = None;
        call.tried.push(self.nodes[attempting.to].instance.address);
        if let Some(link) = self.links.get(call.at, attempting.to) {
            link.monitor.ended();
        }
        self.learn(&name, attempting.to, ran, load);
        match (ran, self.calls[&name].request.key.is_some()) {
            (Ran::Answered(..), _) => self.tell(&name, ran),
            (_, true) => self.resolve(&name, ran),
            (_, false) => self.retry(&name, ran),
        }
    }

    fn learn(&mut self, name: &Arc<str>, to: NodeId, ran: &Ran, load: Option<LoadReport>) {
        let call = &self.calls[name];
        let told = Told::new(ran, call.begun, self.now);
        let report = CallReport {
            outcome: told.outcome,
            status: told.status,
            refusal: told.refusal.map(|refusal| refusal.reason),
            load,
            elapsed: self.now.saturating_duration_since(call.begun),
        };
        let address = self.nodes[to].instance.address;
        let router = &mut self.nodes[call.at].router;
        router.finished(address, &report, self.now);
    }

    /// Sends a request without a key again, or tells its caller.
    fn retry(&mut self, name: &Arc<str>, ran: &Ran) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(name) else {
            return;
        };
        let (outcome, refusal) = match ran {
            Ran::Answered(..) => (Outcome::Answered, None),
            Ran::NotRun(refusal) => {
                call.refused = Some(*refusal);
                (Outcome::NotRun, Some(*refusal))
            }
            Ran::Unknown(step) => {
                call.lost = Some(step);
                (Outcome::Unknown, None)
            }
        };
        let attempt = Attempt {
            number: call.number,
            inherited: 0,
            outcome,
            refusal,
            idempotent: call.request.head.idempotent && !call.is_suspect,
            keyed: false,
            left: call.deadline.left(now),
        };
        call.number += 1;
        match self.nodes[call.at].retry.decide(&attempt) {
            Decision::Retry => self.attempt(name),
            Decision::GiveUp => self.conclude(name, ran),
        }
    }

    /// Tells the caller how its request ended, with a seal first where it carries a key.
    pub fn conclude(&mut self, name: &Arc<str>, ran: &Ran) {
        let Some(call) = self.calls.get(name) else {
            return;
        };
        if call.request.key.is_some() {
            let reason = match ran {
                Ran::NotRun(refusal) => refusal.reason,
                _ => RefusalReason::Deadline,
            };
            self.follow(
                name,
                Resolution::from_executor_reply(ExecutorReply::Missing(reason)),
                "no word",
            );
            return;
        }
        // An earlier attempt may have run, whatever became of the last one.
        let told = Told::new(ran, call.begun, self.now);
        let earlier = call.lost.map(|_| Outcome::Unknown);
        let step = call.lost.unwrap_or("attempts");
        if combined_outcome(earlier, told.outcome) == Outcome::Unknown
            && told.outcome == Outcome::NotRun
        {
            self.tell(name, &Ran::Unknown(step));
        } else {
            self.tell(name, ran);
        }
    }

    fn resolve(&mut self, name: &Arc<str>, ran: &Ran) {
        let (word, step) = match ran {
            Ran::Answered(..) => (ExecutorReply::Answered, "answered"),
            Ran::NotRun(refusal) if refusal.reason == RefusalReason::Unreachable => (
                ExecutorReply::Missing(refusal.reason),
                "executor unreachable",
            ),
            Ran::NotRun(refusal) => (ExecutorReply::NotRun(*refusal), "refused"),
            Ran::Unknown(step) => (ExecutorReply::Unknown, *step),
        };
        self.follow(name, Resolution::from_executor_reply(word), step);
    }

    fn follow(&mut self, name: &Arc<str>, resolution: Resolution, step: &'static str) {
        match resolution {
            Resolution::Answered => {}
            Resolution::NotRun(refusal) => self.tell(name, &Ran::NotRun(refusal)),
            Resolution::Unknown => self.tell(name, &Ran::Unknown(step)),
            Resolution::AskWitness(reason) => self.ask_seal(name, reason),
        }
    }

    fn ask_seal(&mut self, name: &Arc<str>, reason: RefusalReason) {
        let Some(call) = self.calls.get_mut(name) else {
            return;
        };
        // Nobody waits for a word that comes after the deadline.
        let left = call.deadline.left(self.now).duration();
        if left.is_zero() {
            self.tell(name, &Ran::Unknown("deadline"));
            return;
        }
        call.sealing = Some(reason);
        let (at, key) = (call.at, call.request.key.clone());
        self.plan(
            SEAL.min(left),
            Event::SealLate {
                call: Arc::clone(name),
            },
        );
        let Some(key) = key else {
            return;
        };
        if let Some(to) = self.find(key.witness.address) {
            let seal = Message::Seal(Arc::clone(name), key);
            self.send(at, to, LOCAL, seal);
        }
    }

    /// Takes a witness's answer to a seal, or that none came.
    pub fn sealed(&mut self, name: &Arc<str>, answer: Option<&WitnessAnswer>) {
        let Some(call) = self.calls.get_mut(name) else {
            return;
        };
        let Some(reason) = call.sealing.take() else {
            return;
        };
        let step = if answer.is_some() {
            "it was started"
        } else {
            "witness silent"
        };
        self.follow(name, Resolution::from_seal_answer(answer, reason), step);
    }

    /// Ends a call of which the time is over.
    pub fn deadline(&mut self, name: &Arc<str>) {
        let Some(call) = self.calls.get_mut(name) else {
            return;
        };
        if call.told.is_some() || call.sealing.is_some() {
            return;
        }
        if call.attempt.is_some() {
            call.lost = Some("deadline");
        }
        call.attempt = None;
        self.conclude(name, &Ran::Unknown("deadline"));
    }

    /// Tells the caller, once.
    pub fn tell(&mut self, name: &Arc<str>, ran: &Ran) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(name).filter(|call| call.told.is_none()) else {
            return;
        };
        let told = Told::new(ran, call.begun, now);
        let line = format!(
            "{name} {} (d{}, {})",
            told.detail,
            call.at + 1,
            told.elapsed
        );
        call.attempt = None;
        call.sealing = None;
        call.told = Some(told.clone());
        let (at, class, request) = (call.at, call.request.head.class, call.request.clone());
        let end = CallEnd {
            outcome: told.outcome,
            status: told.status,
            refusal: told.refusal.map(|refusal| refusal.reason),
            elapsed: told.elapsed.duration(),
        };
        self.nodes[at].burn.count(&desk(), class, &end, now);
        self.nodes[at].drain.finished(now);
        self.lines.push(line);
        self.check_told(&request, ran, &told);
    }

    fn check_told(&mut self, request: &Request, ran: &Ran, told: &Told) {
        // A text that is no key of this request says nothing of the key.
        let is_of_text = told.refusal.is_some_and(|refusal| {
            let reason = refusal.reason;
            matches!(reason, RefusalReason::KeyInvalid | RefusalReason::KeyReused)
        });
        if is_of_text {
            return;
        }
        let checked = match ran {
            Ran::Answered(_, body) => Watch::answered(&request.name, body),
            _ => self.watch.told(&request.name, told.outcome),
        };
        if let Err(broken) = checked {
            self.broken = Some(broken);
        }
    }
}

/// When a caller comes back after its request could not be sent.
const RETRY: marigold_types::Interval = marigold_types::Interval::from_millis(1_000);
