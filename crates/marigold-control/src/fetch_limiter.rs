//! Limits the snapshots that a daemon transfers concurrently.

use std::collections::BTreeMap;
use std::time::Duration;

use marigold_types::Address;
use tokio::time::Instant;

use crate::SnapshotKind;

/// How long a transfer may take before its slot is given to another daemon.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a daemon that has received a snapshot is referred to others.
const REFERRAL_LIFETIME: Duration = Duration::from_secs(30);
/// The maximum number of daemons remembered for referrals.
const MAX_REFERRALS: usize = 64;

/// The decision on a request for a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FetchDecision {
    /// The snapshot is sent now.
    Granted,
    /// The limit is reached; another daemon that has just received the snapshot can be asked.
    Deferred {
        /// The daemon to ask instead; absent if none is known.
        other: Option<Address>,
    },
}

/// Limits concurrent snapshot transfers and remembers which daemons have received one.
///
/// Deferred requests are referred to those daemons, so that the number of daemons that can send
/// snapshots grows while many daemons start at once.
#[derive(Debug, Clone)]
pub struct FetchLimiter {
    limit: usize,
    transfers: BTreeMap<(Address, SnapshotKind), Instant>,
    recipients: Vec<(Address, Instant)>,
    next_referral: usize,
    peak: usize,
}

impl FetchLimiter {
    /// Creates a limiter that allows at most `limit` concurrent transfers.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            transfers: BTreeMap::new(),
            recipients: Vec::new(),
            next_referral: 0,
            peak: 0,
        }
    }

    /// Returns the highest number of concurrent transfers so far.
    #[must_use]
    pub fn peak(&self) -> usize {
        self.peak
    }

    /// Decides on a snapshot request from `peer`.
    pub fn admit(&mut self, peer: Address, snapshot: SnapshotKind, now: Instant) -> FetchDecision {
        self.transfers
            .retain(|_, since| now.duration_since(*since) < TRANSFER_TIMEOUT);
        self.recipients
            .retain(|(_, since)| now.duration_since(*since) < REFERRAL_LIFETIME);
        // A repeated request reuses the slot of the first: its answer was lost or is in transit.
        let repeated = self.transfers.contains_key(&(peer, snapshot));
        if repeated || self.transfers.len() < self.limit {
            self.transfers.insert((peer, snapshot), now);
            self.peak = self.peak.max(self.transfers.len());
            return FetchDecision::Granted;
        }
        FetchDecision::Deferred {
            other: self.choose_referral(peer),
        }
    }

    /// Notes that `peer` has received its snapshot.
    pub fn release(&mut self, peer: Address, snapshot: SnapshotKind, now: Instant) {
        self.transfers.remove(&(peer, snapshot));
        self.recipients.retain(|(address, _)| *address != peer);
        if self.recipients.len() < MAX_REFERRALS {
            self.recipients.push((peer, now));
        }
    }

    fn choose_referral(&mut self, peer: Address) -> Option<Address> {
        self.next_referral = self.next_referral.wrapping_add(1);
        let count = self.recipients.len();
        let mut candidates =
            (0..count).map(|step| self.recipients[(self.next_referral + step) % count].0);
        candidates.find(|address| *address != peer)
    }
}
