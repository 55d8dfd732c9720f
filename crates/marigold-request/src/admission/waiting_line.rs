//! The requests of one class that wait for a slot.

use std::collections::{BTreeMap, BTreeSet};

use tokio::time::Instant;

use crate::admission::Ticket;

/// One waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Waiting {
    /// Its place: a smaller number came earlier.
    pub place: u64,
    /// When it can no longer make its deadline and is given up.
    pub until: Instant,
}

/// Keeps requests in the order of arrival and finds the one to give up next.
#[derive(Debug, Clone, Default)]
pub struct WaitingLine {
    by_place: BTreeMap<u64, (Ticket, Instant)>,
    by_end: BTreeSet<(Instant, u64)>,
}

impl WaitingLine {
    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.by_place.len()
    }

    /// Adds a request at its place.
    pub fn push(&mut self, ticket: Ticket, waiting: Waiting) {
        self.by_place.insert(waiting.place, (ticket, waiting.until));
        self.by_end.insert((waiting.until, waiting.place));
    }

    /// Takes the request that came first.
    pub fn pop(&mut self) -> Option<Ticket> {
        let (place, (ticket, until)) = self.by_place.pop_first()?;
        self.by_end.remove(&(until, place));
        Some(ticket)
    }

    /// Returns when the request that came last is given up.
    pub fn last_until(&self) -> Option<Instant> {
        self.by_place.last_key_value().map(|(_, (_, until))| *until)
    }

    /// Takes the request that came last.
    pub fn pop_last(&mut self) -> Option<Ticket> {
        let (place, (ticket, until)) = self.by_place.pop_last()?;
        self.by_end.remove(&(until, place));
        Some(ticket)
    }

    /// Takes a request out of the line.
    pub fn remove(&mut self, waiting: Waiting) {
        self.by_place.remove(&waiting.place);
        self.by_end.remove(&(waiting.until, waiting.place));
    }

    /// Returns when the next request is given up.
    pub fn next_end(&self) -> Option<Instant> {
        self.by_end.first().map(|(until, _)| *until)
    }

    /// Takes a request that is to be given up by `now`.
    pub fn pop_ended(&mut self, now: Instant) -> Option<Ticket> {
        let &(until, place) = self.by_end.first().filter(|(until, _)| *until <= now)?;
        self.by_end.remove(&(until, place));
        self.by_place.remove(&place).map(|(ticket, _)| ticket)
    }
}
