//! Bounds the whole states that one daemon hands out at one time.

use std::collections::BTreeMap;
use std::time::Duration;

use marigold_types::Address;
use tokio::time::Instant;

use crate::SnapshotKind;

/// How long a whole state may be under way before its place is given to the next.
const GRANT: Duration = Duration::from_secs(3);
/// How long a daemon that has got a state is named to others as one to ask.
const REFERRAL: Duration = Duration::from_secs(30);
/// The most daemons that are remembered as ones to ask.
const MAX_SERVED: usize = 64;

/// What becomes of a request for a whole state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It is handed out now.
    Granted,
    /// It is not; another daemon that has just got it can be asked.
    Deferred {
        /// The daemon to ask instead.
        other: Option<Address>,
    },
}

/// Counts the whole states under way, and remembers who has got one.
///
/// The daemons served are named to those that are turned away, so that the number of daemons that
/// can hand a state out grows while a herd returns.
#[derive(Debug, Clone)]
pub struct FetchLimiter {
    limit: usize,
    under_way: BTreeMap<(Address, SnapshotKind), Instant>,
    served: Vec<(Address, Instant)>,
    next: usize,
    peak: usize,
}

impl FetchLimiter {
    /// Makes a limiter that hands out at most `limit` states at one time.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            under_way: BTreeMap::new(),
            served: Vec::new(),
            next: 0,
            peak: 0,
        }
    }

    /// Returns the most states that were ever under way at one time.
    #[must_use]
    pub fn peak(&self) -> usize {
        self.peak
    }

    /// Decides on a request of the daemon at `peer`.
    pub fn admit(&mut self, peer: Address, kind: SnapshotKind, now: Instant) -> Admission {
        self.under_way
            .retain(|_, since| now.duration_since(*since) < GRANT);
        self.served
            .retain(|(_, since)| now.duration_since(*since) < REFERRAL);
        // A repeat takes the place of the first: that one was lost, or is still on its way.
        let repeated = self.under_way.contains_key(&(peer, kind));
        if repeated || self.under_way.len() < self.limit {
            self.under_way.insert((peer, kind), now);
            self.peak = self.peak.max(self.under_way.len());
            return Admission::Granted;
        }
        Admission::Deferred {
            other: self.refer(peer),
        }
    }

    /// Notes that the daemon at `peer` has got what it was handed.
    pub fn release(&mut self, peer: Address, kind: SnapshotKind, now: Instant) {
        self.under_way.remove(&(peer, kind));
        self.served.retain(|(address, _)| *address != peer);
        if self.served.len() < MAX_SERVED {
            self.served.push((peer, now));
        }
    }

    fn refer(&mut self, peer: Address) -> Option<Address> {
        self.next = self.next.wrapping_add(1);
        let count = self.served.len();
        let mut places = (0..count).map(|step| self.served[(self.next + step) % count].0);
        places.find(|address| *address != peer)
    }
}
