//! Records of requests that were in flight at a crash, exchanged between daemons.

use std::cmp::Ordering;
use std::collections::BTreeSet;
use std::time::Duration;

use marigold_types::{InstanceId, Interval};
use serde::{Deserialize, Serialize};

use crate::quarantine::{Fingerprint, QuarantinePolicy, TrialHold};

/// Limit on the recorded crashes of a request. More of them make no difference.
const MAX_CRASHES: usize = 4;

/// Identifies one crash of one backend server, so that a crash reported twice counts once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CrashId {
    /// The instance of the backend server's daemon.
    pub instance: InstanceId,
    /// The number of earlier crashes of the backend server during this instance of the daemon;
    /// `u32::MAX` for the loss of the instance itself.
    pub number: u32,
}

/// A request that was in flight at one or more crashes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// The number of times that the request was cleared by an answer.
    pub generation: u32,
    /// The crashes since then at which the request was in flight beside others, at most four.
    pub crashes: BTreeSet<CrashId>,
    /// The number of crashes since then during an exclusive run of the request.
    pub trials: u32,
    /// The time since the last crash.
    pub age: Interval,
    /// Whether the outcome of an exclusive run since then is awaited.
    pub hold: TrialHold,
}

impl CrashRecord {
    /// Returns the record of a request without any crash.
    #[must_use]
    pub fn new(fingerprint: Fingerprint) -> Self {
        Self {
            fingerprint,
            generation: 0,
            crashes: BTreeSet::new(),
            trials: 0,
            age: Interval::default(),
            hold: TrialHold::default(),
        }
    }

    /// Returns whether the request was answered since its last crash.
    #[must_use]
    pub fn is_cleared(&self) -> bool {
        self.crashes.is_empty() && self.trials == 0
    }

    /// Returns for how much longer the request is refused, or `None` if it is not.
    ///
    /// Only a crash during an exclusive run counts, since at any other one the request may have been in flight
    /// by coincidence.
    #[must_use]
    pub fn refused_for(&self, policy: &QuarantinePolicy) -> Option<Duration> {
        let left = policy.refusal(self.trials).checked_sub(self.age.duration());
        left.filter(|left| !left.is_zero())
    }

    /// Returns for how much longer the outcome of an exclusive run is awaited, or `None` if it is not.
    #[must_use]
    pub fn held_for(&self, policy: &QuarantinePolicy) -> Option<Duration> {
        let left = policy
            .hold
            .duration()
            .checked_sub(self.hold.age.duration())
            .filter(|left| !left.is_zero());
        left.filter(|_| self.hold.is_open())
    }

    /// Returns whether the request only runs exclusively.
    #[must_use]
    pub fn is_suspect(&self, policy: &QuarantinePolicy) -> bool {
        self.trials > 0 || self.crashes.len() >= policy.crashes
    }

    /// Adds a crash during a run of the request beside others.
    pub fn add_crash(&mut self, crash: CrashId) {
        let is_new = self.crashes.insert(crash);
        self.drop_excess();
        if is_new && self.crashes.contains(&crash) {
            self.age = Interval::default();
        }
    }

    /// Adds a crash during an exclusive run of the request.
    pub fn add_trial(&mut self) {
        self.trials = self.trials.saturating_add(1);
        self.age = Interval::default();
        self.hold.close();
    }

    /// Clears the request after an answer.
    pub fn clear(&mut self) {
        self.generation = self.generation.saturating_add(1);
        self.crashes.clear();
        self.trials = 0;
        self.hold = TrialHold::default();
    }

    /// Merges another record of the same request; returns whether this one changed other than in its age.
    ///
    /// The order of merges does not matter. A clearance outweighs all crashes recorded without knowledge of
    /// it: a request that crashes backend servers is never answered. Of two ages of the same crashes the
    /// greater one is correct, since a delay in transit makes the other one too short.
    pub fn merge(&mut self, other: &Self) -> bool {
        match other.generation.cmp(&self.generation) {
            Ordering::Less => return false,
            Ordering::Greater => {
                *self = other.clone();
                self.drop_excess();
                return true;
            }
            Ordering::Equal => {}
        }
        let mut merged = Self {
            crashes: self.crashes.union(&other.crashes).copied().collect(),
            trials: self.trials.max(other.trials),
            ..self.clone()
        };
        merged.drop_excess();
        merged.hold.merge(&other.hold);
        let has_other_hold = merged.hold.differs(&self.hold);
        let is_own = merged.has_crashes_of(self);
        merged.age = match (is_own, merged.has_crashes_of(other)) {
            (true, true) => self.age.max(other.age),
            (true, false) => self.age,
            (false, true) => other.age,
            (false, false) => self.age.min(other.age),
        };
        *self = merged;
        !is_own || has_other_hold
    }

    fn has_crashes_of(&self, other: &Self) -> bool {
        (&self.crashes, self.trials) == (&other.crashes, other.trials)
    }

    fn drop_excess(&mut self) {
        while self.crashes.len() > MAX_CRASHES {
            self.crashes.pop_last();
        }
    }
}
