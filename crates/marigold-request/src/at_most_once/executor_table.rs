//! What an executor remembers of the keys that name it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use marigold_types::{ByteSize, Digest, InstanceId, Interval};

use crate::at_most_once::{Nonce, RequestKey, StoredAnswer};
use crate::{Refusal, RefusalReason, WitnessAnswer};

/// Names the entry of one key in an [`ExecutorTable`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EntryKey {
    witness: InstanceId,
    nonce: Nonce,
}

/// How long a caller waits before it takes a new key after a refusal of this one.
const NEW_KEY_DELAY: Interval = Interval::from_millis(0);
/// The most lives of witnesses that are remembered apart from their keys.
const MAX_WITNESSES: usize = 4096;

/// How much an [`ExecutorTable`] remembers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ExecutorLimits {
    /// The most keys.
    pub max_keys: usize,
    /// The most bytes of all stored answers.
    pub max_total_bytes: ByteSize,
    /// The most bytes of one stored answer.
    pub max_answer_bytes: ByteSize,
}

/// What to do with a request that carries a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BeginDecision {
    /// It is new: admit it, ask the witness, then call [`ExecutorTable::start`].
    Run(EntryKey),
    /// It ran: give this answer, marked as stored.
    Stored(Arc<StoredAnswer>),
    /// It is being run: ask again with [`ExecutorTable::begin`] when the entry has ended.
    Wait(EntryKey),
    /// It certainly did not run and never will under this key.
    NotRun(Refusal),
    /// This executor cannot say that it did not run: the ingress has to ask the witness.
    Unknown(&'static str),
}

/// What to do with a request after its witness answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartDecision {
    /// Hand it to the backend server now.
    Run,
    /// It did not run and never will under this key.
    NotRun(Refusal),
    /// It is running or has run already; this answer is a late repeat.
    Ignore,
}

/// How the run of a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunOutcome {
    /// The backend server's whole answer.
    Answered(StoredAnswer),
    /// It was answered, but the answer was too large to be kept.
    TooLarge,
    /// The backend server failed without a whole answer.
    Lost,
    /// The backend server was not handed the request, or said that it had refused it unrun.
    NotRun(Refusal),
}

/// Where the request of a key stands.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum State {
    /// It is admitted or asks its witness; it has not run.
    Pending,
    /// It was handed to the backend server.
    Running,
    /// It ran, and this was its answer.
    Done(Arc<StoredAnswer>),
    /// It ran, and its answer is not here.
    Lost,
    /// It did not run and never will.
    Refused(Refusal),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Entry {
    expiry: u64,
    digest: Digest,
    state: State,
}

impl Entry {
    fn has_ended(&self) -> bool {
        !matches!(self.state, State::Pending | State::Running)
    }

    fn repeat(&self, id: EntryKey, digest: Digest) -> BeginDecision {
        if self.digest != digest {
            return BeginDecision::NotRun(Refusal::permanent(RefusalReason::KeyReused));
        }
        match &self.state {
            State::Pending | State::Running => BeginDecision::Wait(id),
            State::Done(answer) => BeginDecision::Stored(Arc::clone(answer)),
            State::Lost => BeginDecision::Unknown("it ran before and its answer was not kept"),
            State::Refused(refusal) => BeginDecision::NotRun(*refusal),
        }
    }
}

/// The keys that name this life of this daemon, and what became of their requests.
///
/// An entry leaves the table only on its witness's own word that the key has expired, or when that
/// witness's life is closed for good; this instance's clock has no say. From then on it says of such
/// a key that it does not know. A full table does not say *not run* either, since it could not
/// remember that it did. Every operation on a key takes logarithmic time. See
/// docs/design/at-most-once.md.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ExecutorTable {
    local: InstanceId,
    limits: ExecutorLimits,
    entries: BTreeMap<EntryKey, Entry>,
    by_expiry: BTreeMap<InstanceId, BTreeSet<(u64, Nonce)>>,
    /// The uptime of each witness up to which its keys are forgotten, the highest for one that is
    /// closed.
    forgotten: BTreeMap<InstanceId, u64>,
    /// Bytes of all stored answers.
    bytes: u64,
}

impl ExecutorTable {
    /// Builds an empty table for the life `local`.
    #[must_use]
    pub fn new(local: InstanceId, limits: ExecutorLimits) -> Self {
        Self {
            local,
            limits,
            entries: BTreeMap::new(),
            by_expiry: BTreeMap::new(),
            forgotten: BTreeMap::new(),
            bytes: 0,
        }
    }

    /// Takes `local` for the life of this daemon, which may learn on joining that an earlier life
    /// had a greater number than its own start.
    ///
    /// A table that remembers any key keeps its life.
    pub fn adopt(&mut self, local: InstanceId) {
        if self.entries.is_empty() && self.forgotten.is_empty() {
            self.local = local;
        }
    }

    /// Returns how many keys are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no key is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the bytes of all stored answers.
    #[must_use]
    pub fn bytes(&self) -> ByteSize {
        ByteSize(self.bytes)
    }

    /// Decides on a request that carries `key` and digests to `digest`.
    pub fn begin(&mut self, key: &RequestKey, digest: Digest) -> BeginDecision {
        if key.executor != self.local {
            return BeginDecision::Unknown("key names another life of the executor");
        }
        let id = EntryKey {
            witness: key.witness,
            nonce: key.nonce,
        };
        if let Some(entry) = self.entries.get(&id) {
            return entry.repeat(id, digest);
        }
        let forgotten = self.forgotten.get(&key.witness);
        if forgotten.is_some_and(|uptime| key.expiry <= *uptime) {
            return BeginDecision::Unknown("key has expired");
        }
        if self.entries.len() >= self.limits.max_keys {
            return BeginDecision::Unknown("table of keys is full");
        }
        self.insert(id, key.expiry, digest);
        BeginDecision::Run(id)
    }

    /// Decides on the witness's answer for a request that is about to run; none when it gave none
    /// in time.
    pub fn start(&mut self, id: EntryKey, answer: Option<&WitnessAnswer>) -> StartDecision {
        let Some(entry) = self.entries.get_mut(&id) else {
            return StartDecision::Ignore;
        };
        match &entry.state {
            State::Pending => {}
            State::Refused(refusal) => return StartDecision::NotRun(*refusal),
            State::Running | State::Done(_) | State::Lost => return StartDecision::Ignore,
        }
        let reason = match answer {
            // Only this life may run the key, and it knows that it has not: the witness recorded
            // an earlier question of ours, whose answer was lost.
            Some(WitnessAnswer::Started | WitnessAnswer::MayHaveRun) => {
                entry.state = State::Running;
                return StartDecision::Run;
            }
            Some(WitnessAnswer::NeverStarted | WitnessAnswer::Expired) => RefusalReason::KeyRefused,
            Some(WitnessAnswer::Full) => RefusalReason::KeysFull,
            Some(WitnessAnswer::NotMine | WitnessAnswer::Reserved { .. }) | None => {
                RefusalReason::NoWitness
            }
        };
        let refusal = Refusal::retryable(reason, NEW_KEY_DELAY);
        entry.state = State::Refused(refusal);
        StartDecision::NotRun(refusal)
    }

    /// Gives up a request that has not run and remembers that it never will; returns whether it
    /// may be called *not run*.
    pub fn refuse(&mut self, id: EntryKey, refusal: Refusal) -> bool {
        match self.entries.get_mut(&id) {
            Some(entry) if entry.state == State::Pending => {
                entry.state = State::Refused(refusal);
                true
            }
            Some(entry) => matches!(entry.state, State::Refused(_)),
            None => false,
        }
    }

    /// Records how a run ended.
    pub fn finish(&mut self, id: EntryKey, finish: RunOutcome) {
        let state = match finish {
            RunOutcome::Answered(answer) => self.keep(answer).map_or(State::Lost, State::Done),
            RunOutcome::TooLarge | RunOutcome::Lost => State::Lost,
            RunOutcome::NotRun(refusal) => State::Refused(refusal),
        };
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        if entry.state != State::Running {
            return;
        }
        if let State::Done(answer) = &state {
            self.bytes += cost(answer);
        }
        entry.state = state;
    }

    /// Takes the uptime that `witness` gave, and forgets the keys that have expired by it.
    pub fn record_witness_uptime(&mut self, witness: &InstanceId, uptime: u64) {
        let known = self.forgotten.get(witness).copied().unwrap_or_default();
        let has_room = self.forgotten.len() < MAX_WITNESSES || self.forgotten.contains_key(witness);
        if uptime > known && has_room {
            self.forget(witness, uptime);
        }
    }

    /// Returns the witnesses of remembered keys, whose uptime is worth asking for.
    pub fn witnesses(&self) -> impl Iterator<Item = &InstanceId> {
        self.by_expiry.keys()
    }

    /// Forgets every key of a witness's life that is over for good, and begins nothing under its
    /// other keys from now on.
    pub fn close_witness(&mut self, witness: &InstanceId) {
        self.record_witness_uptime(witness, u64::MAX);
    }

    fn insert(&mut self, id: EntryKey, expiry: u64, digest: Digest) {
        let entry = Entry {
            expiry,
            digest,
            state: State::Pending,
        };
        self.entries.insert(id, entry);
        let ends = self.by_expiry.entry(id.witness).or_default();
        ends.insert((expiry, id.nonce));
    }

    /// Returns the answer if there is room for it.
    fn keep(&self, answer: StoredAnswer) -> Option<Arc<StoredAnswer>> {
        let cost = u64::try_from(answer.memory_bytes()).unwrap_or(u64::MAX);
        let fits = cost <= self.limits.max_answer_bytes.0
            && self.bytes + cost <= self.limits.max_total_bytes.0;
        fits.then(|| Arc::new(answer))
    }

    /// Forgets the keys of `witness` that expire up to `uptime`, but for those still at work.
    fn forget(&mut self, witness: &InstanceId, uptime: u64) {
        self.forgotten.insert(*witness, uptime);
        let Some(mut over) = self.by_expiry.remove(witness) else {
            return;
        };
        let mut kept = match uptime.checked_add(1) {
            Some(next) => over.split_off(&(next, Nonce(0))),
            None => BTreeSet::new(),
        };
        for (expiry, nonce) in over {
            let witness = *witness;
            if !self.remove(EntryKey { witness, nonce }) {
                kept.insert((expiry, nonce));
            }
        }
        if !kept.is_empty() {
            self.by_expiry.insert(*witness, kept);
        }
    }

    /// Removes a key that has ended; returns false for one that is still at work.
    fn remove(&mut self, id: EntryKey) -> bool {
        let is_over = self.entries.get(&id).is_none_or(Entry::has_ended);
        if is_over
            && let Some(entry) = self.entries.remove(&id)
            && let State::Done(answer) = entry.state
        {
            self.bytes -= cost(&answer);
        }
        is_over
    }
}

fn cost(answer: &StoredAnswer) -> u64 {
    u64::try_from(answer.memory_bytes()).unwrap_or(u64::MAX)
}
