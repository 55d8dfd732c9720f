//! A queue of requests with equal urgency that wait for a slot.

use std::collections::VecDeque;
use std::time::Duration;

use crate::admission::ticket::Ticket;

/// A FIFO queue of tickets that tracks the sum of their expected run times.
#[derive(Debug, Clone, Default)]
pub struct WaitQueue {
    tickets: VecDeque<Ticket>,
    total_run_time: Duration,
}

impl WaitQueue {
    /// Returns the sum of the expected run times.
    pub fn total_run_time(&self) -> Duration {
        self.total_run_time
    }

    /// Returns the number of tickets.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Returns the tickets, the first one first.
    pub fn tickets(&self) -> impl Iterator<Item = Ticket> {
        self.tickets.iter().copied()
    }

    /// Appends a ticket.
    pub fn push(&mut self, ticket: Ticket, run_time: Duration) {
        self.tickets.push_back(ticket);
        self.total_run_time += run_time;
    }

    /// Inserts a ticket at the front.
    pub fn push_front(&mut self, ticket: Ticket, run_time: Duration) {
        self.tickets.push_front(ticket);
        self.total_run_time += run_time;
    }

    /// Returns the first ticket, or `None` if the queue is empty.
    pub fn first(&self) -> Option<Ticket> {
        self.tickets.front().copied()
    }

    /// Returns the last ticket, or `None` if the queue is empty.
    pub fn last(&self) -> Option<Ticket> {
        self.tickets.back().copied()
    }

    /// Removes a ticket from any position.
    pub fn remove(&mut self, ticket: Ticket, run_time: Duration) {
        if let Some(index) = self.tickets.iter().position(|other| *other == ticket) {
            self.tickets.remove(index);
            self.total_run_time = self.total_run_time.saturating_sub(run_time);
        }
    }
}
