//! Joins the mesh after a start.

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

/// The maximum random delay of the first request, so that daemons that start together do not send
/// theirs at once.
const MAX_INITIAL_DELAY: Duration = Duration::from_millis(500);
/// How long the answer to the first request is awaited; it grows with each further request.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// The delay before the next request after a daemon was unreachable.
const UNREACHABLE_RETRY_DELAY: Duration = Duration::from_millis(250);
/// The maximum time between two requests.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);
/// The range of the random delay after which a daemon that has not joined also reads the members
/// stream of the log. When many daemons start together, the first ones to join spare most of the
/// others the read.
const LOG_READ_DELAY: Range<Duration> = Duration::from_secs(2)..Duration::from_secs(6);
/// The time after which a members table is accepted even from a daemon that has not joined.
const PARTIAL_TABLE_DELAY: Duration = Duration::from_secs(3);
/// The time without an answer after which a daemon that was able to read the log considers itself
/// the only one.
const STANDALONE_DELAY: Duration = Duration::from_secs(15);
/// The maximum number of records read from the end of the members stream.
const MAX_ROSTER_RECORDS: usize = 64;
/// The maximum number of addresses kept from the members stream and from deferrals.
const MAX_CANDIDATES: usize = 256;
/// The interval between requests to known addresses that are not live members, so that separated
/// meshes merge.
const RECONNECT_INTERVAL: Duration = Duration::from_secs(30);

/// The progress of reading the members stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RosterRead {
    NotStarted,
    /// The first read, which returns the bounds of the stream.
    Bounds,
    /// The read of the last records.
    Tail,
    Done,
}

/// Requests the members table from the seeds, and later from daemons listed in the log.
#[derive(Debug)]
pub struct Join {
    rng: ChaCha8Rng,
    seeds: Vec<Address>,
    candidates: Vec<Address>,
    started: Option<Instant>,
    log_read_at: Option<Instant>,
    next_request: Option<Instant>,
    attempts: u32,
    roster_read: RosterRead,
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
                self.handle_roster_read(result, out);
            }
            Input::Event(Event::Unreachable { .. }) if !state.joined => {
                // Another daemon is asked soon, but not at once, so that refused connections do not
                // cause a busy loop.
                self.next_request = self
                    .next_request
                    .map(|next| next.min(now + UNREACHABLE_RETRY_DELAY));
            }
            Input::Message { from, message } => self.handle_message(state, from, message, now, out),
            Input::Event(_) => {}
        }
    }
}

impl Join {
    /// Creates the controller; `seeds` are asked first.
    #[must_use]
    pub fn new(seeds: Vec<Address>, rng: ChaCha8Rng) -> Self {
        Self {
            rng,
            seeds,
            candidates: Vec::new(),
            started: None,
            log_read_at: None,
            next_request: None,
            attempts: 0,
            roster_read: RosterRead::NotStarted,
        }
    }

    fn tick(&mut self, state: &mut ControlState, now: Instant, out: &mut Outbox) {
        let jitter = MAX_INITIAL_DELAY.mul_f64(self.rng.random_range(0.0..1.0));
        let next = *self.next_request.get_or_insert(now + jitter);
        if now < next {
            return;
        }
        if state.joined {
            self.reconnect(state, now, out);
            return;
        }
        let started = *self.started.get_or_insert(now);
        self.attempts += 1;
        let wait = ANSWER_TIMEOUT.mul_f64(self.rng.random_range(0.8..1.2)) * self.attempts.min(8);
        self.next_request = Some(now + wait.min(MAX_RETRY_DELAY));
        let known = self.known_addresses(state);
        if let Some(peer) = known.choose(&mut self.rng) {
            send_join(state, *peer, out);
        }
        let log_read_delay = self.rng.random_range(LOG_READ_DELAY);
        let log_read_at = *self.log_read_at.get_or_insert(started + log_read_delay);
        if now >= log_read_at || known.is_empty() {
            self.start_roster_read(out);
        }
        let is_alone = known.is_empty() || now.duration_since(started) >= STANDALONE_DELAY;
        state.joined = is_alone && self.roster_read == RosterRead::Done;
    }

    /// Sends a join to a seed, or a daemon listed in the log, that is not a live member: after a
    /// partition both sides may have removed each other's members.
    fn reconnect(&mut self, state: &ControlState, now: Instant, out: &mut Outbox) {
        self.next_request = Some(now + RECONNECT_INTERVAL.mul_f64(self.rng.random_range(0.8..1.2)));
        let is_alive = |peer: &Address| {
            let entry = state.members.get(*peer);
            entry.is_some_and(|entry| entry.member.liveness == Liveness::Alive)
        };
        let mut missing = self.known_addresses(state);
        missing.retain(|peer| !is_alive(peer));
        if let Some(peer) = missing.choose(&mut self.rng) {
            send_join(state, *peer, out);
        }
    }

    fn known_addresses(&self, state: &ControlState) -> Vec<Address> {
        let mut known = self.seeds.clone();
        known.extend(&self.candidates);
        known.retain(|peer| *peer != state.address());
        known
    }

    fn start_roster_read(&mut self, out: &mut Outbox) {
        if self.roster_read == RosterRead::NotStarted {
            self.roster_read = RosterRead::Bounds;
            out.read(StreamName::Members, LogOffset(0), 1);
        }
    }

    fn handle_roster_read(&mut self, result: &Result<Batch, LogError>, out: &mut Outbox) {
        let batch = match result {
            Ok(batch) => batch,
            Err(error) => {
                self.handle_read_failure(&error.failure, out);
                return;
            }
        };
        let tail = batch.end.0.saturating_sub(MAX_ROSTER_RECORDS as u64);
        let from = LogOffset(tail).max(batch.earliest);
        if self.roster_read == RosterRead::Bounds && batch.end > batch.earliest {
            self.roster_read = RosterRead::Tail;
            out.read(StreamName::Members, from, MAX_ROSTER_RECORDS);
            return;
        }
        self.roster_read = RosterRead::Done;
        self.add_candidates(batch);
    }

    fn handle_read_failure(&mut self, failure: &LogFailure, out: &mut Outbox) {
        if let LogFailure::Trimmed { earliest } = failure {
            self.roster_read = RosterRead::Bounds;
            out.read(StreamName::Members, *earliest, 1);
        } else {
            self.roster_read = RosterRead::NotStarted;
        }
    }

    fn add_candidates(&mut self, batch: &Batch) {
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

    fn handle_message(
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
                    // Two daemons that start together may know only each other.
                    let waited = self.started.map(|started| now.duration_since(started));
                    let is_sufficient = *joined || waited >= Some(PARTIAL_TABLE_DELAY);
                    confirm_table(state, from, is_sufficient, out);
                    if !is_sufficient {
                        let jitter = self.rng.random_range(0.5..1.0);
                        self.next_request = Some(now + ANSWER_TIMEOUT.mul_f64(jitter));
                    }
                }
            }
            Message::Busy {
                subject: SnapshotKind::Members,
                retry: retry_after_millis,
                other,
            } if !state.joined => {
                let jitter = self.rng.random_range(0.5..1.5);
                let wait = Duration::from_millis(u64::from(*retry_after_millis)).mul_f64(jitter);
                self.next_request = Some(now + wait.min(MAX_RETRY_DELAY));
                self.candidates.extend(other);
                self.candidates.truncate(MAX_CANDIDATES);
            }
            _ => {}
        }
    }
}

fn confirm_table(state: &mut ControlState, from: Address, is_sufficient: bool, out: &mut Outbox) {
    let digest = state.digest();
    let snapshot = SnapshotKind::Members;
    out.send(
        from,
        &Message::Holding {
            subject: snapshot,
            mark: digest,
        },
    );
    if state.joined || !is_sufficient {
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

fn send_join(state: &ControlState, peer: Address, out: &mut Outbox) {
    if let Some(entry) = state.members.get(state.address()) {
        let member = entry.member.clone();
        out.send(peer, &Message::Join { member });
    }
}
