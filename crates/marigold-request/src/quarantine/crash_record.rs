//! What daemons tell each other of requests that were in flight at a crash.

use std::collections::BTreeSet;

use marigold_types::{InstanceId, Interval};
use serde::{Deserialize, Serialize};

use crate::quarantine::Fingerprint;

/// The most crashes that are told of one request: more change nothing.
const MAX_CRASHES: usize = 2;

/// Names one crash of one backend server, so that two who report it count it once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CrashId {
    /// The daemon beside the backend server.
    pub instance: InstanceId,
    /// Which crash of the backend server it was in this life of the daemon.
    pub number: u32,
}

/// One request that was in flight at a crash.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The crashes it was in flight at, at most two.
    pub crashes: BTreeSet<CrashId>,
    /// Whether it has since run to its end.
    pub cleared: bool,
    /// How long this is still remembered.
    pub left: Interval,
}

impl CrashRecord {
    /// Returns whether the request is refused.
    #[must_use]
    pub fn is_refused(&self) -> bool {
        !self.cleared && self.crashes.len() >= MAX_CRASHES
    }

    /// Returns whether the request is run alone.
    #[must_use]
    pub fn is_suspect(&self) -> bool {
        !self.cleared && !self.is_refused()
    }

    /// Joins what two daemons know of one request; returns whether that changed this one.
    ///
    /// The order of joins does not matter. Crashes add up; a clearance holds for the crashes that
    /// it was given after, and for no more. Of two terms for the same crashes the shorter one is
    /// right, since a term only grows on its way.
    pub fn merge(&mut self, other: &Self) -> bool {
        let mut crashes: BTreeSet<_> = self.crashes.union(&other.crashes).copied().collect();
        while crashes.len() > MAX_CRASHES {
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
