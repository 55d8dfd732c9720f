//! One state of the model and its successors.

use std::collections::BTreeSet;
use std::time::Duration;

use marigold_request::at_most_once::{
    BeginDecision, EntryKey, ExecutorLimits, ExecutorReply, ExecutorTable, Nonce, RequestKey,
    Resolution, RunOutcome, StartDecision, StoredAnswer, WitnessTable,
};
use marigold_request::{Refusal, RefusalReason, WitnessAnswer};
use marigold_types::{Address, ByteSize, Digest, Incarnation, InstanceId, Interval, Outcome};
use tokio::time::Instant;

use super::message::{Message, Send};

const TTL_MS: u64 = 10;

/// The maximum number of times that each event may occur.
#[derive(Debug, Clone, Copy, Hash)]
pub struct Bounds {
    pub sends: [u8; 2],
    pub repeats: u8,
    pub executor_crashes: u8,
    pub witness_crashes: u8,
    pub ticks: u8,
    /// The capacity of the executor's key table.
    pub table_keys: usize,
    /// Whether another key takes a place in the table until it is removed.
    pub is_full: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Ingress {
    Idle,
    Waiting,
    Sealing(RefusalReason),
}

#[derive(Debug, Clone, Hash)]
pub struct State {
    remaining: Bounds,
    origin: Instant,
    ticks: u8,
    key: RequestKey,
    executor: ExecutorTable,
    executor_incarnation: u8,
    entry: Option<EntryKey>,
    running: bool,
    waiters: Vec<Send>,
    witness: WitnessTable,
    witness_incarnation: u8,
    ingresses: [Ingress; 2],
    sent: [u8; 2],
    network: Vec<Message>,
    pub runs: u8,
    pub reported: BTreeSet<Outcome>,
}

impl State {
    pub fn new(bounds: Bounds) -> Self {
        let origin = Instant::now();
        let key = RequestKey {
            executor: instance(1, 1),
            witness: instance(2, 1),
            service: "dispatch-desk".parse().unwrap(),
            expiry: TTL_MS,
            nonce: Nonce(7),
        };
        let mut executor = executor(1, bounds.table_keys);
        if bounds.is_full {
            fill(&mut executor, &key);
        }
        Self {
            remaining: bounds,
            origin,
            ticks: 0,
            key,
            executor,
            executor_incarnation: 1,
            entry: None,
            running: false,
            waiters: Vec::new(),
            witness: witness(1, origin),
            witness_incarnation: 1,
            ingresses: [Ingress::Idle; 2],
            sent: [0; 2],
            network: Vec::new(),
            runs: 0,
            reported: BTreeSet::new(),
        }
    }

    /// Asserts the invariants of every state.
    pub fn check(&self) {
        assert!(self.runs <= 1, "ran twice: {self:#?}");
        assert!(
            !self.reported.contains(&Outcome::NotRun) || self.runs == 0,
            "reported as not run, but ran: {self:#?}"
        );
        assert!(
            !self.reported.contains(&Outcome::Answered) || self.runs == 1,
            "reported as answered, but did not run: {self:#?}"
        );
    }

    /// Returns every state that is reachable in one step.
    pub fn next(&self) -> Vec<Self> {
        let mut successors = Vec::new();
        let mut step = |act: &dyn Fn(&mut Self)| {
            let mut state = self.clone();
            act(&mut state);
            state.drop_stale();
            state.network.sort();
            successors.push(state);
        };
        for ingress in 0..2 {
            match self.ingresses[ingress] {
                Ingress::Idle if self.remaining.sends[ingress] > 0 => {
                    step(&|state| state.send(ingress));
                    step(&|state| state.refuse_at_ingress(ingress));
                }
                Ingress::Idle => {}
                Ingress::Waiting => step(&|state| state.give_up(ingress)),
                Ingress::Sealing(reason) => {
                    step(&|state| state.receive_seal_answer(ingress, None, reason));
                }
            }
        }
        for index in 0..self.network.len() {
            step(&|state| {
                let message = state.network.remove(index);
                state.deliver(&message);
            });
            if self.network[index].may_be_duplicated() && self.remaining.repeats > 0 {
                step(&|state| {
                    state.remaining.repeats -= 1;
                    let message = state.network[index].clone();
                    state.deliver(&message);
                });
            }
        }
        if self.entry.is_some() {
            step(&Self::refuse);
            step(&|state| state.start(None));
            step(&|state| state.finish(RunOutcome::Lost, ExecutorReply::Unknown));
        }
        if self.remaining.executor_crashes > 0 {
            step(&Self::crash_executor);
        }
        if self.remaining.witness_crashes > 0 {
            step(&Self::crash_witness);
        }
        if self.remaining.ticks > 0 {
            step(&|state| {
                state.remaining.ticks -= 1;
                state.ticks += 1;
            });
        }
        if self.remaining.is_full {
            step(&Self::make_room);
        }
        if self.remaining.ticks + self.ticks > 0 {
            step(&Self::receive_uptime);
            step(&|state| state.executor.close_witness(&state.key.witness));
        }
        successors
    }

    fn now(&self) -> Instant {
        self.origin + Duration::from_millis(TTL_MS) * u32::from(self.ticks)
    }

    fn send(&mut self, ingress: usize) {
        let send = self.take_send(ingress);
        self.ingresses[ingress] = Ingress::Waiting;
        self.network.push(Message::Call(send));
    }

    fn take_send(&mut self, ingress: usize) -> Send {
        self.remaining.sends[ingress] -= 1;
        self.sent[ingress] += 1;
        Send {
            ingress,
            number: self.sent[ingress],
        }
    }

    /// The ingress refuses the request before sending it, for example because of a rate limit.
    fn refuse_at_ingress(&mut self, ingress: usize) {
        self.take_send(ingress);
        self.receive_reply(ingress, ExecutorReply::Missing(RefusalReason::Limited));
    }

    /// The ingress stops waiting for the executor.
    fn give_up(&mut self, ingress: usize) {
        self.receive_reply(ingress, ExecutorReply::Missing(RefusalReason::Unreachable));
    }

    fn receive_reply(&mut self, ingress: usize, reply: ExecutorReply) {
        let resolution = Resolution::from_executor_reply(reply);
        self.apply_resolution(ingress, resolution);
    }

    fn receive_seal_answer(
        &mut self,
        ingress: usize,
        answer: Option<&WitnessAnswer>,
        reason: RefusalReason,
    ) {
        self.apply_resolution(ingress, Resolution::from_seal_answer(answer, reason));
    }

    fn apply_resolution(&mut self, ingress: usize, resolution: Resolution) {
        self.ingresses[ingress] = Ingress::Idle;
        match resolution {
            Resolution::Answered => self.report(Outcome::Answered),
            Resolution::NotRun(_) => self.report(Outcome::NotRun),
            Resolution::Unknown => self.report(Outcome::Unknown),
            Resolution::AskWitness(reason) => {
                self.ingresses[ingress] = Ingress::Sealing(reason);
                let number = self.sent[ingress];
                self.network.push(Message::Seal(Send { ingress, number }));
            }
        }
    }

    fn report(&mut self, outcome: Outcome) {
        self.reported.insert(outcome);
    }

    /// Drops answers that no ingress is waiting for, since their arrival changes nothing.
    fn drop_stale(&mut self) {
        let network = std::mem::take(&mut self.network);
        let is_awaited = |message: &Message| match message {
            Message::Reply(send, _) => {
                self.is_current(*send) && self.ingresses[send.ingress] == Ingress::Waiting
            }
            Message::Sealed(send, _) => {
                let is_sealing = matches!(self.ingresses[send.ingress], Ingress::Sealing(_));
                self.is_current(*send) && is_sealing
            }
            _ => true,
        };
        self.network = network.into_iter().filter(is_awaited).collect();
    }

    fn is_current(&self, send: Send) -> bool {
        self.sent[send.ingress] == send.number
    }

    fn deliver(&mut self, message: &Message) {
        match message {
            Message::Call(send) => self.call(*send),
            Message::Reply(send, reply) => {
                if self.is_current(*send) && self.ingresses[send.ingress] == Ingress::Waiting {
                    self.receive_reply(send.ingress, *reply);
                }
            }
            Message::Start => {
                let answer = self.witness.start(&self.key, self.now());
                self.network.push(Message::Started(answer));
            }
            Message::Started(answer) => self.start(Some(answer)),
            Message::Seal(send) => {
                let answer = self.witness.seal(&self.key, self.now());
                self.network.push(Message::Sealed(*send, answer));
            }
            Message::Sealed(send, answer) => {
                if let Ingress::Sealing(reason) = self.ingresses[send.ingress]
                    && self.is_current(*send)
                {
                    self.receive_seal_answer(send.ingress, Some(answer), reason);
                }
            }
            Message::Run => {
                self.runs += 1;
                let answer = StoredAnswer {
                    status: 200,
                    headers: Vec::new(),
                    body: [].into(),
                };
                if self.running {
                    self.finish(RunOutcome::Answered(answer), ExecutorReply::Answered);
                }
            }
        }
    }

    /// A call reaches the current instance of the executor.
    fn call(&mut self, send: Send) {
        let reply = match self.executor.begin(&self.key, Digest::of(b"order")) {
            BeginDecision::Run(entry) => {
                self.entry = Some(entry);
                self.waiters.push(send);
                self.network.push(Message::Start);
                return;
            }
            BeginDecision::Wait(_) => {
                self.waiters.push(send);
                self.waiters.sort();
                self.waiters.dedup();
                return;
            }
            BeginDecision::Stored(_) => ExecutorReply::Answered,
            BeginDecision::NotRun(refusal) => ExecutorReply::NotRun(refusal),
            BeginDecision::Unknown(_) => ExecutorReply::Unknown,
        };
        self.network.push(Message::Reply(send, reply));
    }

    fn start(&mut self, answer: Option<&WitnessAnswer>) {
        let Some(entry) = self.entry else {
            return;
        };
        match self.executor.start(entry, answer) {
            StartDecision::Run => {
                self.running = true;
                self.network.push(Message::Run);
            }
            StartDecision::NotRun(refusal) => self.send_reply(ExecutorReply::NotRun(refusal)),
            StartDecision::Ignore => {}
        }
    }

    /// The executor refuses the request while it waits for a slot.
    fn refuse(&mut self) {
        let Some(entry) = self.entry else {
            return;
        };
        let refusal = Refusal::permanent(RefusalReason::Overloaded);
        if self.executor.refuse(entry, refusal) {
            self.send_reply(ExecutorReply::NotRun(refusal));
        }
    }

    fn finish(&mut self, outcome: RunOutcome, reply: ExecutorReply) {
        if let Some(entry) = self.entry.filter(|_| self.running) {
            self.executor.finish(entry, outcome);
            self.running = false;
            self.send_reply(reply);
        }
    }

    fn send_reply(&mut self, reply: ExecutorReply) {
        self.entry = None;
        let waiters = std::mem::take(&mut self.waiters);
        let replies = waiters.into_iter().map(|send| Message::Reply(send, reply));
        self.network.extend(replies);
    }

    fn crash_executor(&mut self) {
        self.remaining.executor_crashes -= 1;
        self.executor_incarnation += 1;
        self.executor = executor(self.executor_incarnation.into(), self.remaining.table_keys);
        self.entry = None;
        self.running = false;
        self.waiters.clear();
    }

    /// The executor removes the key that fills its table.
    fn make_room(&mut self) {
        self.remaining.is_full = false;
        self.executor.close_witness(&instance(3, 1));
    }

    fn crash_witness(&mut self) {
        self.remaining.witness_crashes -= 1;
        self.witness_incarnation += 1;
        self.witness = witness(self.witness_incarnation.into(), self.now());
    }

    /// The executor receives the uptime of the witness.
    fn receive_uptime(&mut self) {
        if self.witness_incarnation == 1 {
            let uptime = self.witness.uptime(self.now());
            self.executor
                .record_witness_uptime(&self.key.witness, uptime);
        }
    }
}

/// Adds another key, whose request has ended but which is still recorded.
fn fill(executor: &mut ExecutorTable, key: &RequestKey) {
    let other = RequestKey {
        witness: instance(3, 1),
        ..key.clone()
    };
    if let BeginDecision::Run(entry) = executor.begin(&other, Digest::of(b"other")) {
        executor.refuse(entry, Refusal::permanent(RefusalReason::Overloaded));
    }
}

fn instance(host: u8, incarnation: u64) -> InstanceId {
    InstanceId {
        address: Address(([10, 0, 0, host], 7000).into()),
        incarnation: Incarnation(incarnation),
    }
}

fn executor(incarnation: u64, keys: usize) -> ExecutorTable {
    let limits = ExecutorLimits {
        max_keys: keys,
        max_total_bytes: ByteSize(1 << 10),
        max_answer_bytes: ByteSize(1 << 8),
    };
    ExecutorTable::new(instance(1, incarnation), limits)
}

fn witness(incarnation: u64, now: Instant) -> WitnessTable {
    WitnessTable::new(
        instance(2, incarnation),
        Interval::from_millis(TTL_MS),
        4,
        now,
    )
}
