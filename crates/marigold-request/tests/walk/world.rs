//! One state of the model and the states that follow it.

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

const TTL: u64 = 10;

/// What may happen at most how often in one walk.
#[derive(Debug, Clone, Copy, Hash)]
pub struct Bounds {
    pub sends: [u8; 2],
    pub repeats: u8,
    pub executor_crashes: u8,
    pub witness_crashes: u8,
    pub ticks: u8,
    pub table: usize,
    /// Whether another key fills the table until it is forgotten.
    pub is_full: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Ingress {
    Idle,
    Waiting,
    Sealing(RefusalReason),
}

#[derive(Debug, Clone, Hash)]
pub struct World {
    left: Bounds,
    origin: Instant,
    ticks: u8,
    key: RequestKey,
    executor: ExecutorTable,
    executor_life: u8,
    entry: Option<EntryKey>,
    running: bool,
    waiters: Vec<Send>,
    witness: WitnessTable,
    witness_life: u8,
    ingresses: [Ingress; 2],
    sent: [u8; 2],
    network: Vec<Message>,
    pub runs: u8,
    pub said: BTreeSet<Outcome>,
}

impl World {
    pub fn new(bounds: Bounds) -> Self {
        let origin = Instant::now();
        let key = RequestKey {
            executor: instance(1, 1),
            witness: instance(2, 1),
            service: "dispatch-desk".parse().unwrap(),
            expiry: TTL,
            nonce: Nonce(7),
        };
        let mut executor = executor(1, bounds.table);
        if bounds.is_full {
            fill(&mut executor, &key);
        }
        Self {
            left: bounds,
            origin,
            ticks: 0,
            key,
            executor,
            executor_life: 1,
            entry: None,
            running: false,
            waiters: Vec::new(),
            witness: witness(1, origin),
            witness_life: 1,
            ingresses: [Ingress::Idle; 2],
            sent: [0; 2],
            network: Vec::new(),
            runs: 0,
            said: BTreeSet::new(),
        }
    }

    /// What must hold in every state.
    pub fn check(&self) {
        assert!(self.runs <= 1, "ran twice: {self:#?}");
        assert!(
            !self.said.contains(&Outcome::NotRun) || self.runs == 0,
            "not run, and ran: {self:#?}"
        );
        assert!(
            !self.said.contains(&Outcome::Answered) || self.runs == 1,
            "answered, and did not run: {self:#?}"
        );
    }

    /// Returns every state that one step leads to.
    pub fn next(&self) -> Vec<Self> {
        let mut worlds = Vec::new();
        let mut step = |act: &dyn Fn(&mut Self)| {
            let mut world = self.clone();
            act(&mut world);
            world.drop_stale();
            world.network.sort();
            worlds.push(world);
        };
        for who in 0..2 {
            match self.ingresses[who] {
                Ingress::Idle if self.left.sends[who] > 0 => {
                    step(&|world| world.send(who));
                    step(&|world| world.refuse_here(who));
                }
                Ingress::Idle => {}
                Ingress::Waiting => step(&|world| world.give_up(who)),
                Ingress::Sealing(reason) => step(&|world| world.hear_seal(who, None, reason)),
            }
        }
        for index in 0..self.network.len() {
            step(&|world| {
                let message = world.network.remove(index);
                world.deliver(&message);
            });
            if self.network[index].may_repeat() && self.left.repeats > 0 {
                step(&|world| {
                    world.left.repeats -= 1;
                    let message = world.network[index].clone();
                    world.deliver(&message);
                });
            }
        }
        if self.entry.is_some() {
            step(&Self::refuse);
            step(&|world| world.start(None));
            step(&|world| world.finish(RunOutcome::Lost, ExecutorReply::Unknown));
        }
        if self.left.executor_crashes > 0 {
            step(&Self::crash_executor);
        }
        if self.left.witness_crashes > 0 {
            step(&Self::crash_witness);
        }
        if self.left.ticks > 0 {
            step(&|world| {
                world.left.ticks -= 1;
                world.ticks += 1;
            });
        }
        if self.left.is_full {
            step(&Self::make_room);
        }
        if self.left.ticks + self.ticks > 0 {
            step(&Self::hear_uptime);
            step(&|world| world.executor.close_witness(&world.key.witness));
        }
        worlds
    }

    fn now(&self) -> Instant {
        self.origin + Duration::from_millis(TTL) * u32::from(self.ticks)
    }

    fn send(&mut self, who: usize) {
        let send = self.take_send(who);
        self.ingresses[who] = Ingress::Waiting;
        self.network.push(Message::Call(send));
    }

    fn take_send(&mut self, who: usize) -> Send {
        self.left.sends[who] -= 1;
        self.sent[who] += 1;
        Send {
            ingress: who,
            number: self.sent[who],
        }
    }

    /// The ingress refuses a send before it has left, by a limit for example.
    fn refuse_here(&mut self, who: usize) {
        self.take_send(who);
        self.hear(who, ExecutorReply::Missing(RefusalReason::Limited));
    }

    /// The ingress waits no longer for the executor.
    fn give_up(&mut self, who: usize) {
        self.hear(who, ExecutorReply::Missing(RefusalReason::Unreachable));
    }

    fn hear(&mut self, who: usize, word: ExecutorReply) {
        let resolution = Resolution::from_executor_reply(word);
        self.conclude(who, resolution);
    }

    fn hear_seal(&mut self, who: usize, answer: Option<&WitnessAnswer>, reason: RefusalReason) {
        self.conclude(who, Resolution::from_seal_answer(answer, reason));
    }

    fn conclude(&mut self, who: usize, resolution: Resolution) {
        self.ingresses[who] = Ingress::Idle;
        match resolution {
            Resolution::Answered => self.say(Outcome::Answered),
            Resolution::NotRun(_) => self.say(Outcome::NotRun),
            Resolution::Unknown => self.say(Outcome::Unknown),
            Resolution::AskWitness(reason) => {
                self.ingresses[who] = Ingress::Sealing(reason);
                let number = self.sent[who];
                self.network.push(Message::Seal(Send {
                    ingress: who,
                    number,
                }));
            }
        }
    }

    fn say(&mut self, outcome: Outcome) {
        self.said.insert(outcome);
    }

    /// Drops answers that nobody waits for any more: their arrival changes nothing.
    fn drop_stale(&mut self) {
        let network = std::mem::take(&mut self.network);
        let matters = |message: &Message| match message {
            Message::Reply(send, _) => {
                self.is_current(*send) && self.ingresses[send.ingress] == Ingress::Waiting
            }
            Message::Sealed(send, _) => {
                let is_sealing = matches!(self.ingresses[send.ingress], Ingress::Sealing(_));
                self.is_current(*send) && is_sealing
            }
            _ => true,
        };
        self.network = network.into_iter().filter(matters).collect();
    }

    fn is_current(&self, send: Send) -> bool {
        self.sent[send.ingress] == send.number
    }

    fn deliver(&mut self, message: &Message) {
        match message {
            Message::Call(send) => self.call(*send),
            Message::Reply(send, word) => {
                if self.is_current(*send) && self.ingresses[send.ingress] == Ingress::Waiting {
                    self.hear(send.ingress, *word);
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
                    self.hear_seal(send.ingress, Some(answer), reason);
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

    /// A call reaches whichever life of the executor is there.
    fn call(&mut self, send: Send) {
        let word = match self.executor.begin(&self.key, Digest::of(b"order")) {
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
        self.network.push(Message::Reply(send, word));
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
            StartDecision::NotRun(refusal) => self.reply(ExecutorReply::NotRun(refusal)),
            StartDecision::Ignore => {}
        }
    }

    /// The executor gives up while the request waits for a slot.
    fn refuse(&mut self) {
        let Some(entry) = self.entry else {
            return;
        };
        let refusal = Refusal::permanent(RefusalReason::Overloaded);
        if self.executor.refuse(entry, refusal) {
            self.reply(ExecutorReply::NotRun(refusal));
        }
    }

    fn finish(&mut self, finish: RunOutcome, word: ExecutorReply) {
        if let Some(entry) = self.entry.filter(|_| self.running) {
            self.executor.finish(entry, finish);
            self.running = false;
            self.reply(word);
        }
    }

    fn reply(&mut self, word: ExecutorReply) {
        self.entry = None;
        let waiters = std::mem::take(&mut self.waiters);
        let replies = waiters.into_iter().map(|send| Message::Reply(send, word));
        self.network.extend(replies);
    }

    fn crash_executor(&mut self) {
        self.left.executor_crashes -= 1;
        self.executor_life += 1;
        self.executor = executor(self.executor_life.into(), self.left.table);
        self.entry = None;
        self.running = false;
        self.waiters.clear();
    }

    /// The executor forgets the key that fills its table.
    fn make_room(&mut self) {
        self.left.is_full = false;
        self.executor.close_witness(&instance(3, 1));
    }

    fn crash_witness(&mut self) {
        self.left.witness_crashes -= 1;
        self.witness_life += 1;
        self.witness = witness(self.witness_life.into(), self.now());
    }

    /// The executor hears how long the witness has been up.
    fn hear_uptime(&mut self) {
        if self.witness_life == 1 {
            let uptime = self.witness.uptime(self.now());
            self.executor
                .record_witness_uptime(&self.key.witness, uptime);
        }
    }
}

/// Begins another key, which has ended but is still remembered.
fn fill(executor: &mut ExecutorTable, key: &RequestKey) {
    let other = RequestKey {
        witness: instance(3, 1),
        ..key.clone()
    };
    if let BeginDecision::Run(entry) = executor.begin(&other, Digest::of(b"other")) {
        executor.refuse(entry, Refusal::permanent(RefusalReason::Overloaded));
    }
}

fn instance(host: u8, life: u64) -> InstanceId {
    InstanceId {
        address: Address(([10, 0, 0, host], 7000).into()),
        incarnation: Incarnation(life),
    }
}

fn executor(life: u64, keys: usize) -> ExecutorTable {
    let limits = ExecutorLimits {
        max_keys: keys,
        max_total_bytes: ByteSize(1 << 10),
        max_answer_bytes: ByteSize(1 << 8),
    };
    ExecutorTable::new(instance(1, life), limits)
}

fn witness(life: u64, now: Instant) -> WitnessTable {
    WitnessTable::new(instance(2, life), Interval::from_millis(TTL), 4, now)
}
