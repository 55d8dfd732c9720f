//! The executor's record of the idempotency keys issued for it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use marigold_types::{ByteSize, Digest, InstanceId, Interval};

use crate::at_most_once::{Nonce, RequestKey, StoredAnswer};
use crate::{Refusal, RefusalReason, WitnessAnswer};

/// Identifies the entry of one key in an [`ExecutorTable`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EntryKey {
    witness: InstanceId,
    nonce: Nonce,
}

/// The delay before a caller may retry with a new key after this one was refused.
const NEW_KEY_DELAY: Interval = Interval::from_millis(0);
/// The maximum number of witness instances whose uptime is tracked.
const MAX_WITNESSES: usize = 4096;

/// Memory limits of an [`ExecutorTable`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ExecutorLimits {
    /// The maximum number of keys.
    pub max_keys: usize,
    /// The maximum size of all stored answers together.
    pub max_total_bytes: ByteSize,
    /// The maximum size of one stored answer.
    pub max_answer_bytes: ByteSize,
}

/// How to handle a request that carries a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BeginDecision {
    /// The key is new: admit the request, ask the witness, then call [`ExecutorTable::start`].
    Run(EntryKey),
    /// The request already ran: return this answer, marked as stored.
    Stored(Arc<StoredAnswer>),
    /// The request is in progress: call [`ExecutorTable::begin`] again when the entry has ended.
    Wait(EntryKey),
    /// The request did not run and never will under this key.
    NotRun(Refusal),
    /// This executor cannot rule out that the request ran: the ingress has to ask the witness. The
    /// reason may be sent to the caller.
    Unknown(&'static str),
}

/// How to handle a request after its witness answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartDecision {
    /// Forward the request to the backend server.
    Run,
    /// The request did not run and never will under this key.
    NotRun(Refusal),
    /// The request is running or has run already; the answer is a duplicate.
    Ignore,
}

/// The result of forwarding a request to the backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunOutcome {
    /// The backend server's complete answer.
    Answered(StoredAnswer),
    /// The backend server answered, but the answer is too large to store.
    TooLarge,
    /// The backend server failed before its answer was complete.
    Lost,
    /// The backend server did not receive the request, or reported that it refused it without
    /// running it.
    NotRun(Refusal),
}

/// The progress of the request of a key.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum State {
    /// Waiting for admission or for the answer of the witness; not yet run.
    Pending,
    /// Forwarded to the backend server.
    Running,
    /// Ran, with this answer.
    Done(Arc<StoredAnswer>),
    /// Forwarded, but no answer is stored.
    Lost,
    /// Did not run and never will.
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

    fn decide_repeat(&self, id: EntryKey, digest: Digest) -> BeginDecision {
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

/// The keys issued for this instance and the state of their requests.
///
/// An entry is removed only when its witness reports that the key has expired, or when the witness
/// instance is closed; the local clock is never used. Requests with a removed key are answered
/// *unknown*. So are new keys while the table is full, since a *not run* answer could not be
/// recorded. Every operation on a key takes logarithmic time. See docs/design/at-most-once.md.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ExecutorTable {
    local: InstanceId,
    limits: ExecutorLimits,
    entries: BTreeMap<EntryKey, Entry>,
    by_expiry: BTreeMap<InstanceId, BTreeSet<(u64, Nonce)>>,
    /// The uptime, in milliseconds, up to which the keys of each witness have been removed;
    /// `u64::MAX` for a closed witness.
    expired_up_to: BTreeMap<InstanceId, u64>,
    /// The memory of all stored answers.
    stored_bytes: u64,
}

impl ExecutorTable {
    /// Creates an empty table for the instance `local`.
    #[must_use]
    pub fn new(local: InstanceId, limits: ExecutorLimits) -> Self {
        Self {
            local,
            limits,
            entries: BTreeMap::new(),
            by_expiry: BTreeMap::new(),
            expired_up_to: BTreeMap::new(),
            stored_bytes: 0,
        }
    }

    /// Sets the instance of this daemon, unless the table has recorded a key or a witness.
    ///
    /// A joining daemon may learn that an earlier instance at its address had a higher incarnation
    /// number than its own, and then continues under a new number.
    pub fn adopt(&mut self, local: InstanceId) {
        if self.entries.is_empty() && self.expired_up_to.is_empty() {
            self.local = local;
        }
    }

    /// Returns the number of recorded keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no key is recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the memory of all stored answers.
    #[must_use]
    pub fn bytes(&self) -> ByteSize {
        ByteSize(self.stored_bytes)
    }

    /// Decides how to handle a request that carries `key`; `digest` is the digest of the request.
    pub fn begin(&mut self, key: &RequestKey, digest: Digest) -> BeginDecision {
        if key.executor != self.local {
            return BeginDecision::Unknown("key names another life of the executor");
        }
        let id = EntryKey {
            witness: key.witness,
            nonce: key.nonce,
        };
        if let Some(entry) = self.entries.get(&id) {
            return entry.decide_repeat(id, digest);
        }
        let expired_up_to = self.expired_up_to.get(&key.witness);
        if expired_up_to.is_some_and(|uptime| key.expiry <= *uptime) {
            return BeginDecision::Unknown("key has expired");
        }
        if self.entries.len() >= self.limits.max_keys {
            return BeginDecision::Unknown("table of keys is full");
        }
        self.insert(id, key.expiry, digest);
        BeginDecision::Run(id)
    }

    /// Decides whether a pending request may run, from the witness's answer; `None` if the witness
    /// did not answer in time.
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
            // Only this instance may run the key, and it has not done so. `MayHaveRun` means that
            // the witness recorded an earlier request from here whose answer was lost.
            Some(WitnessAnswer::Started | WitnessAnswer::MayHaveRun) => {
                entry.state = State::Running;
                return StartDecision::Run;
            }
            Some(WitnessAnswer::NeverStarted | WitnessAnswer::Expired) => RefusalReason::KeyRefused,
            Some(WitnessAnswer::Full) => RefusalReason::KeysFull,
            Some(WitnessAnswer::WrongWitness | WitnessAnswer::Reserved { .. }) | None => {
                RefusalReason::NoWitness
            }
        };
        let refusal = Refusal::retryable(reason, NEW_KEY_DELAY);
        entry.state = State::Refused(refusal);
        StartDecision::NotRun(refusal)
    }

    /// Refuses a pending request for good; returns whether it may be reported as *not run*.
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
    pub fn finish(&mut self, id: EntryKey, outcome: RunOutcome) {
        let state = match outcome {
            RunOutcome::Answered(answer) => self.fit(answer).map_or(State::Lost, State::Done),
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
            self.stored_bytes += memory_bytes(answer);
        }
        entry.state = state;
    }

    /// Records the uptime of `witness` in milliseconds and removes the keys that have expired.
    pub fn record_witness_uptime(&mut self, witness: &InstanceId, uptime: u64) {
        let known = self.expired_up_to.get(witness).copied().unwrap_or_default();
        let has_room =
            self.expired_up_to.len() < MAX_WITNESSES || self.expired_up_to.contains_key(witness);
        if uptime > known && has_room {
            self.remove_expired(witness, uptime);
        }
    }

    /// Returns the witnesses of all recorded keys, whose uptime has to be polled.
    pub fn witnesses(&self) -> impl Iterator<Item = &InstanceId> {
        self.by_expiry.keys()
    }

    /// Removes the keys of a witness instance that is gone for good, except those still in
    /// progress. No other key of this witness is accepted from now on.
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
        let expiries = self.by_expiry.entry(id.witness).or_default();
        expiries.insert((expiry, id.nonce));
    }

    /// Returns the answer if storing it is within the limits.
    fn fit(&self, answer: StoredAnswer) -> Option<Arc<StoredAnswer>> {
        let size = u64::try_from(answer.memory_bytes()).unwrap_or(u64::MAX);
        let fits = size <= self.limits.max_answer_bytes.0
            && self.stored_bytes + size <= self.limits.max_total_bytes.0;
        fits.then(|| Arc::new(answer))
    }

    /// Removes the keys of `witness` that expire up to `uptime`, except those still in progress.
    fn remove_expired(&mut self, witness: &InstanceId, uptime: u64) {
        self.expired_up_to.insert(*witness, uptime);
        let Some(mut expired) = self.by_expiry.remove(witness) else {
            return;
        };
        let mut kept = match uptime.checked_add(1) {
            Some(next) => expired.split_off(&(next, Nonce(0))),
            None => BTreeSet::new(),
        };
        for (expiry, nonce) in expired {
            let witness = *witness;
            if !self.remove_if_ended(EntryKey { witness, nonce }) {
                kept.insert((expiry, nonce));
            }
        }
        if !kept.is_empty() {
            self.by_expiry.insert(*witness, kept);
        }
    }

    /// Removes an entry unless its request is still in progress; returns whether it is gone.
    fn remove_if_ended(&mut self, id: EntryKey) -> bool {
        let has_ended = self.entries.get(&id).is_none_or(Entry::has_ended);
        if has_ended
            && let Some(entry) = self.entries.remove(&id)
            && let State::Done(answer) = entry.state
        {
            self.stored_bytes -= memory_bytes(&answer);
        }
        has_ended
    }
}

fn memory_bytes(answer: &StoredAnswer) -> u64 {
    u64::try_from(answer.memory_bytes()).unwrap_or(u64::MAX)
}
