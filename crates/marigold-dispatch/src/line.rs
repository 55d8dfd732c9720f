//! The requests of one urgency that wait for a slot.

use std::collections::VecDeque;
use std::time::Duration;

use crate::admission_controller::Ticket;

/// Keeps tickets in order, with the work that they stand for.
#[derive(Debug, Clone, Default)]
pub struct Line {
    tickets: VecDeque<Ticket>,
    work: Duration,
}

impl Line {
    /// Returns the work that waits.
    pub fn work(&self) -> Duration {
        self.work
    }

    /// Adds a ticket at the end.
    pub fn push(&mut self, ticket: Ticket, work: Duration) {
        self.tickets.push_back(ticket);
        self.work += work;
    }

    /// Adds a ticket at the front.
    pub fn push_front(&mut self, ticket: Ticket, work: Duration) {
        self.tickets.push_front(ticket);
        self.work += work;
    }

    /// Returns the first ticket.
    pub fn first(&self) -> Option<Ticket> {
        self.tickets.front().copied()
    }

    /// Takes a ticket out, wherever it stands.
    pub fn remove(&mut self, ticket: Ticket, work: Duration) {
        if let Some(place) = self.tickets.iter().position(|other| *other == ticket) {
            self.tickets.remove(place);
            self.work = self.work.saturating_sub(work);
        }
    }
}
