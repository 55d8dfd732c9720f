//! The requests of one class that wait for a slot.

use std::collections::{BTreeMap, BTreeSet};

use tokio::time::Instant;

use crate::admission::Ticket;

/// The position of a waiting request in its queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueEntry {
    /// Ascends in the order of arrival.
    pub sequence: u64,
    /// When the request can no longer meet its deadline and is dropped.
    pub expires_at: Instant,
}

/// A first-in, first-out queue that also finds the next request to expire.
#[derive(Debug, Clone, Default)]
pub struct WaitQueue {
    by_sequence: BTreeMap<u64, (Ticket, Instant)>,
    by_expiry: BTreeSet<(Instant, u64)>,
}

impl WaitQueue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.by_sequence.len()
    }

    /// Adds a request.
    pub fn push(&mut self, ticket: Ticket, entry: QueueEntry) {
        self.by_sequence
            .insert(entry.sequence, (ticket, entry.expires_at));
        self.by_expiry.insert((entry.expires_at, entry.sequence));
    }

    /// Removes the oldest request.
    pub fn pop(&mut self) -> Option<Ticket> {
        let (sequence, (ticket, expires_at)) = self.by_sequence.pop_first()?;
        self.by_expiry.remove(&(expires_at, sequence));
        Some(ticket)
    }

    /// Returns when the newest request expires.
    pub fn last_expiry(&self) -> Option<Instant> {
        self.by_sequence
            .last_key_value()
            .map(|(_, (_, expires_at))| *expires_at)
    }

    /// Removes the newest request.
    pub fn pop_last(&mut self) -> Option<Ticket> {
        let (sequence, (ticket, expires_at)) = self.by_sequence.pop_last()?;
        self.by_expiry.remove(&(expires_at, sequence));
        Some(ticket)
    }

    /// Removes the request at `entry`.
    pub fn remove(&mut self, entry: QueueEntry) {
        self.by_sequence.remove(&entry.sequence);
        self.by_expiry.remove(&(entry.expires_at, entry.sequence));
    }

    /// Returns when the next request expires, whatever its position.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.by_expiry.first().map(|(expires_at, _)| *expires_at)
    }

    /// Removes a request that has expired by `now`.
    pub fn pop_expired(&mut self, now: Instant) -> Option<Ticket> {
        let is_expired = |(expires_at, _): &&(Instant, u64)| *expires_at <= now;
        let &(expires_at, sequence) = self.by_expiry.first().filter(is_expired)?;
        self.by_expiry.remove(&(expires_at, sequence));
        self.by_sequence.remove(&sequence).map(|(ticket, _)| ticket)
    }
}
