//! What a witness remembers of the keys that name it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use marigold_types::{InstanceId, Interval};
use tokio::time::Instant;

use crate::WitnessAnswer;
use crate::at_most_once::{Nonce, RequestKey};

/// What has become of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Mark {
    /// Its executor was told that it may start.
    Started,
    /// It never starts.
    Sealed,
}

/// Names a key among those of one witness.
type Id = (InstanceId, Nonce);

/// The keys that were started or sealed, judged by this instance's own steady clock alone.
///
/// A mark is kept for one more lifetime of a key after the key has expired, so that a seal asked
/// for late is still answered with certainty. Marks are never evicted earlier: a full table
/// refuses. Every operation takes logarithmic time. See docs/design/at-most-once.md.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct WitnessTable {
    local: InstanceId,
    /// When the uptime was zero.
    origin: Instant,
    /// The longest time for which a key may be used.
    ttl: Duration,
    /// The most marks that are kept.
    capacity: usize,
    marks: BTreeMap<Id, Mark>,
    /// The marks by the uptime at which they may be forgotten.
    ends: BTreeSet<(u64, Id)>,
}

impl WitnessTable {
    /// Builds an empty table for a witness that starts at `now`.
    #[must_use]
    pub fn new(local: InstanceId, ttl: Interval, capacity: usize, now: Instant) -> Self {
        Self {
            local,
            origin: now,
            ttl: ttl.duration(),
            capacity,
            marks: BTreeMap::new(),
            ends: BTreeSet::new(),
        }
    }

    /// Takes `local` for the life of this daemon, as
    /// [`ExecutorTable::adopt`](crate::at_most_once::ExecutorTable::adopt) does.
    pub fn adopt(&mut self, local: InstanceId) {
        if self.marks.is_empty() {
            self.local = local;
        }
    }

    /// Returns the milliseconds since this witness started, by its own steady clock.
    #[must_use]
    pub fn uptime(&self, now: Instant) -> u64 {
        millis(now.saturating_duration_since(self.origin))
    }

    /// Returns how many marks are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.marks.len()
    }

    /// Returns whether no mark is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.marks.is_empty()
    }

    /// Answers the executor of `key`, which asks to start its request.
    pub fn start(&mut self, key: &RequestKey, now: Instant) -> WitnessAnswer {
        if key.witness != self.local {
            return WitnessAnswer::NotMine;
        }
        self.forget(now);
        let uptime = self.uptime(now);
        // The expiry goes first: a key of which the mark was forgotten must not start again.
        if key.expiry <= uptime || key.expiry > uptime.saturating_add(millis(self.ttl)) {
            return WitnessAnswer::Expired;
        }
        match self.marks.get(&id(key)) {
            Some(Mark::Started) => WitnessAnswer::MayHaveRun,
            Some(Mark::Sealed) => WitnessAnswer::NeverStarted,
            None => self.mark(key, Mark::Started, WitnessAnswer::Started),
        }
    }

    /// Answers a daemon that asks that the request of `key` never start from now on.
    pub fn seal(&mut self, key: &RequestKey, now: Instant) -> WitnessAnswer {
        if key.witness != self.local {
            return WitnessAnswer::NotMine;
        }
        self.forget(now);
        match self.marks.get(&id(key)) {
            Some(Mark::Started) => WitnessAnswer::MayHaveRun,
            Some(Mark::Sealed) => WitnessAnswer::NeverStarted,
            None if self.forgot(key, now) => WitnessAnswer::Expired,
            // An expired key cannot start, and its mark would still be here had it started.
            None if key.expiry <= self.uptime(now) => WitnessAnswer::NeverStarted,
            None => self.mark(key, Mark::Sealed, WitnessAnswer::NeverStarted),
        }
    }

    /// Answers a daemon that is about to make `count` keys, so that it knows this witness's time.
    pub fn reserve(&mut self, count: u32, now: Instant) -> WitnessAnswer {
        self.forget(now);
        let wanted = usize::try_from(count).unwrap_or(usize::MAX);
        if self.marks.len().saturating_add(wanted) > self.capacity {
            return WitnessAnswer::Full;
        }
        WitnessAnswer::Reserved {
            uptime: self.uptime(now),
        }
    }

    fn mark(&mut self, key: &RequestKey, mark: Mark, answer: WitnessAnswer) -> WitnessAnswer {
        if self.marks.len() >= self.capacity {
            return WitnessAnswer::Full;
        }
        self.marks.insert(id(key), mark);
        self.ends.insert((self.end(key), id(key)));
        answer
    }

    /// Returns the uptime at which the mark of `key` may be forgotten.
    fn end(&self, key: &RequestKey) -> u64 {
        key.expiry.saturating_add(millis(self.ttl))
    }

    /// Returns whether a mark of `key` would have been forgotten by now.
    fn forgot(&self, key: &RequestKey, now: Instant) -> bool {
        self.end(key) <= self.uptime(now)
    }

    fn forget(&mut self, now: Instant) {
        let uptime = self.uptime(now);
        while let Some(&(end, id)) = self.ends.first() {
            if end > uptime {
                break;
            }
            self.ends.pop_first();
            self.marks.remove(&id);
        }
    }
}

fn id(key: &RequestKey) -> Id {
    (key.executor, key.nonce)
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
