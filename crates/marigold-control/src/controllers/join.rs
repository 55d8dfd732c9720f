//! Finds the mesh after a start.

use std::ops::Range;
use std::time::Duration;

use marigold_log::{Batch, LogError, LogFailure, StreamName};
use marigold_types::{Address, LogOffset};
use rand::RngExt;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use crate::controller::{Controller, Input};
use crate::{
    ControlState, Event, Liveness, Message, Outbox, PendingUpdate, Roster, SnapshotKind, Update,
};

/// How long the first request waits at most, so that a herd does not ask all at once.
const FIRST_SPREAD: Duration = Duration::from_millis(500);
/// How long an answer is waited for in the first round; later rounds wait longer.
const PATIENCE: Duration = Duration::from_secs(1);
/// How long the next candidate waits after one that was not reached.
const RETRY: Duration = Duration::from_millis(250);
/// The longest wait between two rounds.
const MAX_WAIT: Duration = Duration::from_secs(5);
/// A daemon that has not found the mesh by then reads the log's members stream, too; each draws its
/// own time, so that a herd whose first members have found it by then does not read as one.
const LOG_AFTER: Range<Duration> = Duration::from_secs(2)..Duration::from_secs(6);
/// After so long the table of a daemon that has just started itself is enough.
const PARTIAL_AFTER: Duration = Duration::from_secs(3);
/// After so long without an answer a daemon that could read the log holds itself alone.
const ALONE_AFTER: Duration = Duration::from_secs(15);
/// How many records at the end of the members stream are read.
const ROSTER_RECORDS: usize = 64;
/// The most candidates that are kept from the members stream.
const MAX_CANDIDATES: usize = 256;
/// How often a seed that is not among the live members is greeted, so that two meshes merge.
const GREETING: Duration = Duration::from_secs(30);

/// How far the members stream has been read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reading {
    Unread,
    Size,
    Tail,
    Done,
}

/// Asks seeds, and later daemons named in the log, for the members table.
#[derive(Debug)]
pub struct Join {
    rng: ChaCha8Rng,
    seeds: Vec<Address>,
    candidates: Vec<Address>,
    began: Option<Instant>,
    log_at: Option<Instant>,
    next: Option<Instant>,
    rounds: u32,
    reading: Reading,
}

impl Controller for Join {
    fn name(&self) -> &'static str {
        "join"
    }

    fn handle(
        &mut self,
        state: &mut ControlState,
        input: Input<'_>,
        now: Instant,
        out: &mut Outbox,
    ) {
        match input {
            Input::Event(Event::Tick) => self.tick(state, now, out),
            Input::Event(Event::LogRead { stream, result }) if *stream == StreamName::Members => {
                self.take_read(result, out);
            }
            Input::Event(Event::Unreachable { .. }) if !state.joined => {
                // The next is asked soon, but not in a row without a pause.
                self.next = self.next.map(|next| next.min(now + RETRY));
            }
            Input::Message { from, message } => self.hear(state, from, message, now, out),
            Input::Event(_) => {}
        }
    }
}

impl Join {
    /// Makes the controller; `seeds` are asked first.
    #[must_use]
    pub fn new(seeds: Vec<Address>, rng: ChaCha8Rng) -> Self {
        Self {
            rng,
            seeds,
            candidates: Vec::new(),
            began: None,
            log_at: None,
            next: None,
            rounds: 0,
            reading: Reading::Unread,
        }
    }

    fn tick(&mut self, state: &mut ControlState, now: Instant, out: &mut Outbox) {
        let spread = FIRST_SPREAD.mul_f64(self.rng.random_range(0.0..1.0));
        let next = *self.next.get_or_insert(now + spread);
        if now < next {
            return;
        }
        if state.joined {
            self.greet(state, now, out);
            return;
        }
        let began = *self.began.get_or_insert(now);
        self.rounds += 1;
        let wait = PATIENCE.mul_f64(self.rng.random_range(0.8..1.2)) * self.rounds.min(8);
        self.next = Some(now + wait.min(MAX_WAIT));
        let known = self.known(state);
        if let Some(peer) = known.choose(&mut self.rng) {
            ask(state, *peer, out);
        }
        let log_after = self.rng.random_range(LOG_AFTER);
        let log_at = *self.log_at.get_or_insert(began + log_after);
        if now >= log_at || known.is_empty() {
            self.read(out);
        }
        let nobody = known.is_empty() || now.duration_since(began) >= ALONE_AFTER;
        state.joined = nobody && self.reading == Reading::Done;
    }

    /// Makes itself known to a seed, or a daemon that the log named, that is not a live member:
    /// after a split the two sides may have forgotten one another.
    fn greet(&mut self, state: &ControlState, now: Instant, out: &mut Outbox) {
        self.next = Some(now + GREETING.mul_f64(self.rng.random_range(0.8..1.2)));
        let is_alive = |peer: &Address| {
            let entry = state.members.get(*peer);
            entry.is_some_and(|entry| entry.member.liveness == Liveness::Alive)
        };
        let mut lost = self.known(state);
        lost.retain(|peer| !is_alive(peer));
        if let Some(peer) = lost.choose(&mut self.rng) {
            ask(state, *peer, out);
        }
    }

    fn known(&self, state: &ControlState) -> Vec<Address> {
        let mut known = self.seeds.clone();
        known.extend(&self.candidates);
        known.retain(|peer| *peer != state.address());
        known
    }

    fn read(&mut self, out: &mut Outbox) {
        if self.reading == Reading::Unread {
            self.reading = Reading::Size;
            out.read(StreamName::Members, LogOffset(0), 1);
        }
    }

    fn take_read(&mut self, result: &Result<Batch, LogError>, out: &mut Outbox) {
        let batch = match result {
            Ok(batch) => batch,
            Err(error) => {
                self.go_on(&error.failure, out);
                return;
            }
        };
        let tail = batch.end.0.saturating_sub(ROSTER_RECORDS as u64);
        let from = LogOffset(tail).max(batch.earliest);
        if self.reading == Reading::Size && batch.end > batch.earliest {
            self.reading = Reading::Tail;
            out.read(StreamName::Members, from, ROSTER_RECORDS);
            return;
        }
        self.reading = Reading::Done;
        self.take_rosters(batch);
    }

    fn go_on(&mut self, failure: &LogFailure, out: &mut Outbox) {
        if let LogFailure::Trimmed { earliest } = failure {
            self.reading = Reading::Size;
            out.read(StreamName::Members, *earliest, 1);
        } else {
            self.reading = Reading::Unread;
        }
    }

    fn take_rosters(&mut self, batch: &Batch) {
        for record in batch.records.iter().rev() {
            let Ok(roster) = serde_json::from_str::<Roster>(&record.data) else {
                continue;
            };
            self.candidates.extend(roster.members);
        }
        self.candidates.truncate(MAX_CANDIDATES);
        self.candidates.sort_unstable();
        self.candidates.dedup();
    }

    fn hear(
        &mut self,
        state: &mut ControlState,
        from: Address,
        message: &Message,
        now: Instant,
        out: &mut Outbox,
    ) {
        match message {
            Message::Table {
                members,
                last,
                joined,
            } => {
                for member in members {
                    state.merge_member(member, now);
                }
                if *last {
                    // Two daemons that start together know only one another.
                    let waited = self.began.map(|began| now.duration_since(began));
                    let enough = *joined || waited >= Some(PARTIAL_AFTER);
                    finish(state, from, enough, out);
                    if !enough {
                        let spread = self.rng.random_range(0.5..1.0);
                        self.next = Some(now + PATIENCE.mul_f64(spread));
                    }
                }
            }
            Message::Busy {
                snapshot: SnapshotKind::Members,
                retry_after_millis,
                other,
            } if !state.joined => {
                let spread = self.rng.random_range(0.5..1.5);
                let wait = Duration::from_millis(u64::from(*retry_after_millis)).mul_f64(spread);
                self.next = Some(now + wait.min(MAX_WAIT));
                self.candidates.extend(other);
                self.candidates.truncate(MAX_CANDIDATES);
            }
            _ => {}
        }
    }
}

fn finish(state: &mut ControlState, from: Address, enough: bool, out: &mut Outbox) {
    let digest = state.digest();
    let snapshot = SnapshotKind::Members;
    out.send(from, &Message::Holding { snapshot, digest });
    if state.joined || !enough {
        return;
    }
    state.joined = true;
    if let Some(own) = state.members.get(state.address()) {
        let update = Update::Member(own.member.clone());
        state
            .pending_updates
            .push(PendingUpdate { update, from: None });
    }
}

fn ask(state: &ControlState, peer: Address, out: &mut Outbox) {
    if let Some(entry) = state.members.get(state.address()) {
        let member = entry.member.clone();
        out.send(peer, &Message::Join { member });
    }
}
