//! The witness's record of the idempotency keys issued with it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use marigold_types::{InstanceId, Interval};
use tokio::time::Instant;

use crate::WitnessAnswer;
use crate::at_most_once::{Nonce, RequestKey};

/// The recorded state of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum KeyState {
    /// The executor was permitted to start the request.
    Started,
    /// The request never starts.
    Sealed,
}

/// Identifies a key among those of one witness.
type Id = (InstanceId, Nonce);

/// The keys that were started or sealed. Expiry depends only on this instance's monotonic clock.
///
/// An entry is kept for one more key lifetime after the key has expired, so that a late seal
/// request still gets a definite answer. Entries are never evicted earlier: a full table refuses
/// new ones. Every operation takes logarithmic time. See docs/design/at-most-once.md.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct WitnessTable {
    local: InstanceId,
    /// The start of the uptime.
    origin: Instant,
    /// The maximum lifetime of a key.
    ttl: Duration,
    /// The maximum number of entries.
    capacity: usize,
    states: BTreeMap<Id, KeyState>,
    /// The keys of the entries, ordered by the uptime in milliseconds at which each is removed.
    removals: BTreeSet<(u64, Id)>,
}

impl WitnessTable {
    /// Creates an empty table for a witness that starts at `now`.
    #[must_use]
    pub fn new(local: InstanceId, ttl: Interval, capacity: usize, now: Instant) -> Self {
        Self {
            local,
            origin: now,
            ttl: ttl.duration(),
            capacity,
            states: BTreeMap::new(),
            removals: BTreeSet::new(),
        }
    }

    /// Sets the instance of this daemon unless the table has an entry, as
    /// [`ExecutorTable::adopt`](crate::at_most_once::ExecutorTable::adopt) does.
    pub fn adopt(&mut self, local: InstanceId) {
        if self.states.is_empty() {
            self.local = local;
        }
    }

    /// Returns the milliseconds since this witness started, by its monotonic clock.
    #[must_use]
    pub fn uptime(&self, now: Instant) -> u64 {
        millis(now.saturating_duration_since(self.origin))
    }

    /// Returns the number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Returns whether the table has no entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Handles a request of the executor to start the request of `key`.
    pub fn start(&mut self, key: &RequestKey, now: Instant) -> WitnessAnswer {
        if key.witness != self.local {
            return WitnessAnswer::WrongWitness;
        }
        self.remove_expired(now);
        let uptime = self.uptime(now);
        // The expiry is checked first: a key whose entry was removed must not start again.
        if key.expiry <= uptime || key.expiry > uptime.saturating_add(millis(self.ttl)) {
            return WitnessAnswer::Expired;
        }
        match self.states.get(&id(key)) {
            Some(KeyState::Started) => WitnessAnswer::MayHaveRun,
            Some(KeyState::Sealed) => WitnessAnswer::NeverStarted,
            None => self.record(key, KeyState::Started, WitnessAnswer::Started),
        }
    }

    /// Handles a request of a daemon that the request of `key` never start from now on.
    pub fn seal(&mut self, key: &RequestKey, now: Instant) -> WitnessAnswer {
        if key.witness != self.local {
            return WitnessAnswer::WrongWitness;
        }
        self.remove_expired(now);
        match self.states.get(&id(key)) {
            Some(KeyState::Started) => WitnessAnswer::MayHaveRun,
            Some(KeyState::Sealed) => WitnessAnswer::NeverStarted,
            None if self.is_removed(key, now) => WitnessAnswer::Expired,
            // An expired key cannot start, and if it had started, its entry would still exist.
            None if key.expiry <= self.uptime(now) => WitnessAnswer::NeverStarted,
            None => self.record(key, KeyState::Sealed, WitnessAnswer::NeverStarted),
        }
    }

    /// Handles a request to reserve `count` keys; the answer carries the uptime of this witness.
    pub fn reserve(&mut self, count: u32, now: Instant) -> WitnessAnswer {
        self.remove_expired(now);
        let wanted = usize::try_from(count).unwrap_or(usize::MAX);
        if self.states.len().saturating_add(wanted) > self.capacity {
            return WitnessAnswer::Full;
        }
        WitnessAnswer::Reserved {
            uptime: self.uptime(now),
        }
    }

    fn record(
        &mut self,
        key: &RequestKey,
        state: KeyState,
        answer: WitnessAnswer,
    ) -> WitnessAnswer {
        if self.states.len() >= self.capacity {
            return WitnessAnswer::Full;
        }
        self.states.insert(id(key), state);
        self.removals.insert((self.removal_uptime(key), id(key)));
        answer
    }

    /// Returns the uptime at which the entry of `key` is removed.
    fn removal_uptime(&self, key: &RequestKey) -> u64 {
        key.expiry.saturating_add(millis(self.ttl))
    }

    /// Returns whether an entry of `key` would have been removed by now.
    fn is_removed(&self, key: &RequestKey, now: Instant) -> bool {
        self.removal_uptime(key) <= self.uptime(now)
    }

    fn remove_expired(&mut self, now: Instant) {
        let uptime = self.uptime(now);
        while let Some(&(removal, id)) = self.removals.first() {
            if removal > uptime {
                break;
            }
            self.removals.pop_first();
            self.states.remove(&id);
        }
    }
}

fn id(key: &RequestKey) -> Id {
    (key.executor, key.nonce)
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
