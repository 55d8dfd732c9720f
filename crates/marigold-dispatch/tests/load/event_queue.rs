//! The queue of simulation events.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use tokio::time::Instant;

use super::scenario::Change;

/// A simulation event.
#[derive(Debug, Clone)]
pub enum Event {
    /// A caller sends a request of a class in a data centre.
    Arrival { class: usize, data_centre: usize },
    /// A request arrives at its ingress.
    Request(usize),
    /// An attempt arrives at its executor.
    Attempt(usize),
    /// A run ends.
    RunEnd { attempt: usize, ok: bool },
    /// The result of an attempt arrives at its ingress.
    Reply {
        attempt: usize,
        result: AttemptResult,
    },
    /// All executors remove expired requests from their queues.
    RemoveExpired,
    /// A daemon that shuts down checks its stage.
    PollShutdown(usize),
    /// A daemon has started again.
    Started(usize),
    /// A scheduled change takes effect.
    Change(Change),
}

/// The result of an attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AttemptResult {
    Served(Duration),
    Failed,
    Lost,
    Rejected,
    Refused(Duration),
}

/// Events ordered by time, then by insertion.
#[derive(Default)]
pub struct EventQueue {
    heap: BinaryHeap<Reverse<(Instant, usize)>>,
    events: Vec<Option<Event>>,
}

impl EventQueue {
    pub fn add(&mut self, at: Instant, event: Event) {
        self.heap.push(Reverse((at, self.events.len())));
        self.events.push(Some(event));
    }

    pub fn next(&mut self) -> Option<(Instant, Event)> {
        let Reverse((at, number)) = self.heap.pop()?;
        let event = self.events[number].take()?;
        Some((at, event))
    }
}
