//! What an executor remembers of the keys that name it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use marigold_types::{ByteSize, Digest, InstanceId, Interval};
use slotmap::{SlotMap, new_key_type};

use crate::once::{Nonce, RequestKey, StoredAnswer};
use crate::{Refusal, RefusalReason, WitnessAnswer};

new_key_type! {
    /// Names the entry of one key in an [`ExecutorTable`].
    pub struct EntryKey;
}

/// How long a caller waits before it takes a new key after a refusal of this one.
const NEW_KEY_DELAY: Interval = Interval::from_millis(0);
/// The most lives of witnesses that are closed.
const MAX_CLOSED: usize = 4096;

/// How much an [`ExecutorTable`] remembers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExecutorLimits {
    /// The most keys.
    pub keys: usize,
    /// The most bytes of all stored answers.
    pub bytes: ByteSize,
    /// The most bytes of one stored answer.
    pub answer: ByteSize,
}

/// What to do with a request that carries a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Begin {
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
pub enum Start {
    /// Hand it to the backend server now.
    Run,
    /// It did not run and never will under this key.
    NotRun(Refusal),
    /// It is running or has run already; this answer is a late repeat.
    Ignore,
}

/// How the run of a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Finish {
    /// The backend server's whole answer.
    Answered(StoredAnswer),
    /// It was answered, but the answer was too large to be kept.
    TooLarge,
    /// The backend server failed without a whole answer.
    Lost,
}

/// Where the request of a key stands.
#[derive(Debug, Clone, PartialEq, Eq)]
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

#[derive(Debug, Clone, PartialEq, Eq)]
struct Entry {
    witness: InstanceId,
    expiry: u64,
    nonce: Nonce,
    digest: Digest,
    state: State,
}

impl Entry {
    fn has_ended(&self) -> bool {
        !matches!(self.state, State::Pending | State::Running)
    }
}

/// The keys that name this life of this daemon, and what became of their requests.
///
/// An entry leaves the table only on its witness's own word that the key has expired, or when that
/// witness's life is closed for good; this instance's clock has no say. A full table does not say
/// *not run*, since it could not remember that it did. Every operation on a key takes logarithmic
/// time. See docs/design/at-most-once.md.
#[derive(Debug, Clone)]
pub struct ExecutorTable {
    local: InstanceId,
    limits: ExecutorLimits,
    entries: SlotMap<EntryKey, Entry>,
    by_nonce: BTreeMap<(InstanceId, Nonce), EntryKey>,
    by_expiry: BTreeMap<InstanceId, BTreeSet<(u64, Nonce)>>,
    /// Lives of witnesses under whose keys nothing begins any more.
    closed: BTreeSet<InstanceId>,
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
            entries: SlotMap::with_key(),
            by_nonce: BTreeMap::new(),
            by_expiry: BTreeMap::new(),
            closed: BTreeSet::new(),
            bytes: 0,
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
    pub fn begin(&mut self, key: &RequestKey, digest: Digest) -> Begin {
        if key.executor != self.local {
            return Begin::Unknown("key names another life of the executor");
        }
        if let Some(&id) = self.by_nonce.get(&(key.witness, key.nonce)) {
            return self.repeat(id, digest);
        }
        if self.closed.contains(&key.witness) {
            return Begin::Unknown("key names a witness that is closed here");
        }
        if self.entries.len() >= self.limits.keys {
            return Begin::Unknown("table of keys is full");
        }
        Begin::Run(self.insert(key, digest))
    }

    /// Decides on the witness's answer for a request that is about to run; none when it gave none
    /// in time.
    pub fn start(&mut self, id: EntryKey, answer: Option<&WitnessAnswer>) -> Start {
        let Some(entry) = self.entries.get_mut(id) else {
            return Start::Ignore;
        };
        match &entry.state {
            State::Pending => {}
            State::Refused(refusal) => return Start::NotRun(*refusal),
            State::Running | State::Done(_) | State::Lost => return Start::Ignore,
        }
        let reason = match answer {
            // Only this life may run the key, and it knows that it has not: the witness recorded
            // an earlier question of ours, whose answer was lost.
            Some(WitnessAnswer::Started | WitnessAnswer::MayHaveRun) => {
                entry.state = State::Running;
                return Start::Run;
            }
            Some(WitnessAnswer::NeverStarted | WitnessAnswer::Expired) => RefusalReason::KeyRefused,
            Some(WitnessAnswer::Full) => RefusalReason::KeysFull,
            Some(WitnessAnswer::NotMine | WitnessAnswer::Reserved { .. }) | None => {
                RefusalReason::NoWitness
            }
        };
        let refusal = Refusal::after(reason, NEW_KEY_DELAY);
        entry.state = State::Refused(refusal);
        Start::NotRun(refusal)
    }

    /// Gives up a request that has not run and remembers that it never will; returns whether it
    /// may be called *not run*.
    pub fn refuse(&mut self, id: EntryKey, refusal: Refusal) -> bool {
        match self.entries.get_mut(id) {
            Some(entry) if entry.state == State::Pending => {
                entry.state = State::Refused(refusal);
                true
            }
            Some(entry) => matches!(entry.state, State::Refused(_)),
            None => false,
        }
    }

    /// Records how a run ended.
    pub fn finish(&mut self, id: EntryKey, finish: Finish) {
        let kept = match finish {
            Finish::Answered(answer) => self.keep(answer),
            Finish::TooLarge | Finish::Lost => None,
        };
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        if entry.state != State::Running {
            return;
        }
        if let Some(answer) = &kept {
            self.bytes += cost(answer);
        }
        entry.state = kept.map_or(State::Lost, State::Done);
    }

    /// Takes the uptime that `witness` gave, and forgets the keys that have expired by it.
    pub fn witness_uptime(&mut self, witness: &InstanceId, uptime: u64) {
        let Some(ends) = self.by_expiry.get_mut(witness) else {
            return;
        };
        let later = ends.split_off(&(uptime.saturating_add(1), Nonce(0)));
        let over = std::mem::replace(ends, later);
        for (expiry, nonce) in over {
            self.forget(witness, expiry, nonce);
        }
        self.trim(witness);
    }

    /// Returns the witnesses of remembered keys, whose uptime is worth asking for.
    pub fn witnesses(&self) -> impl Iterator<Item = &InstanceId> {
        self.by_expiry.keys()
    }

    /// Forgets every key of a witness's life that is over for good, and begins nothing under its
    /// other keys from now on; returns whether there was room to remember that.
    pub fn close(&mut self, witness: &InstanceId) -> bool {
        if self.closed.len() >= MAX_CLOSED {
            return false;
        }
        self.closed.insert(*witness);
        let ends = self.by_expiry.remove(witness).unwrap_or_default();
        for (expiry, nonce) in ends {
            self.forget(witness, expiry, nonce);
        }
        true
    }

    fn repeat(&self, id: EntryKey, digest: Digest) -> Begin {
        let entry = &self.entries[id];
        if entry.digest != digest {
            return Begin::NotRun(Refusal::last(RefusalReason::KeyReused));
        }
        match &entry.state {
            State::Pending | State::Running => Begin::Wait(id),
            State::Done(answer) => Begin::Stored(Arc::clone(answer)),
            State::Lost => Begin::Unknown("it ran before and its answer was not kept"),
            State::Refused(refusal) => Begin::NotRun(*refusal),
        }
    }

    fn insert(&mut self, key: &RequestKey, digest: Digest) -> EntryKey {
        let id = self.entries.insert(Entry {
            witness: key.witness,
            expiry: key.expiry,
            nonce: key.nonce,
            digest,
            state: State::Pending,
        });
        self.by_nonce.insert((key.witness, key.nonce), id);
        let ends = self.by_expiry.entry(key.witness).or_default();
        ends.insert((key.expiry, key.nonce));
        id
    }

    /// Returns the answer if there is room for it.
    fn keep(&self, answer: StoredAnswer) -> Option<Arc<StoredAnswer>> {
        let cost = u64::try_from(answer.cost()).unwrap_or(u64::MAX);
        let fits = cost <= self.limits.answer.0 && self.bytes + cost <= self.limits.bytes.0;
        fits.then(|| Arc::new(answer))
    }

    /// Forgets a key that has ended; one that is still at work is kept until the next time.
    fn forget(&mut self, witness: &InstanceId, expiry: u64, nonce: Nonce) {
        let Some(&id) = self.by_nonce.get(&(*witness, nonce)) else {
            return;
        };
        if !self.entries[id].has_ended() {
            let ends = self.by_expiry.entry(*witness).or_default();
            ends.insert((expiry, nonce));
            return;
        }
        self.by_nonce.remove(&(*witness, nonce));
        if let Some(entry) = self.entries.remove(id)
            && let State::Done(answer) = entry.state
        {
            self.bytes -= cost(&answer);
        }
    }

    fn trim(&mut self, witness: &InstanceId) {
        if self.by_expiry.get(witness).is_some_and(BTreeSet::is_empty) {
            self.by_expiry.remove(witness);
        }
    }
}

fn cost(answer: &StoredAnswer) -> u64 {
    u64::try_from(answer.cost()).unwrap_or(u64::MAX)
}
