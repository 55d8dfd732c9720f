//! Records of requests that were in flight at a crash, exchanged between daemons.

use std::collections::BTreeSet;

use marigold_types::{InstanceId, Interval};
use serde::{Deserialize, Serialize};

use crate::quarantine::Fingerprint;

/// The number of crashes after which a request is refused. Further crashes are not recorded.
const REFUSAL_CRASHES: usize = 2;

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
    /// The crashes at which the request was in flight, at most two.
    pub crashes: BTreeSet<CrashId>,
    /// Whether the request has been answered since the last of these crashes.
    pub cleared: bool,
    /// The time until the record expires.
    pub left: Interval,
}

impl CrashRecord {
    /// Returns whether the request is refused.
    #[must_use]
    pub fn is_refused(&self) -> bool {
        !self.cleared && self.crashes.len() >= REFUSAL_CRASHES
    }

    /// Returns whether the request is a suspect, which runs alone.
    #[must_use]
    pub fn is_suspect(&self) -> bool {
        !self.cleared && !self.is_refused()
    }

    /// Merges another record of the same request; returns whether this one changed.
    ///
    /// The order of merges does not matter. The sets of crashes are united. A clearance applies
    /// only to the crashes of the record that carries it. Of two remaining times for the same
    /// crashes the shorter one is correct, since a delay in transit makes the other one too long.
    pub fn merge(&mut self, other: &Self) -> bool {
        let mut crashes: BTreeSet<_> = self.crashes.union(&other.crashes).copied().collect();
        while crashes.len() > REFUSAL_CRASHES {
            crashes.pop_last();
        }
        let before = (self.cleared, self.crashes.len());
        let is_own = crashes == self.crashes;
        let is_other = crashes == other.crashes;
        let cleared = is_own && self.cleared || is_other && other.cleared;
        self.left = match (is_own, is_other) {
            (true, false) => self.left,
            (false, true) => other.left,
            (true, true) => self.left.min(other.left),
            (false, false) => self.left.max(other.left),
        };
        let changed = before != (cleared, crashes.len()) || !is_own;
        self.crashes = crashes;
        self.cleared = cleared;
        changed
    }
}
