//! What is about to happen, in the order of time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use tokio::time::Instant;

use super::options::Change;

/// Something that happens.
#[derive(Debug, Clone)]
pub enum Event {
    /// The next caller of a class comes in a data centre.
    Arrival { class: usize, place: usize },
    /// A request reaches its ingress.
    Request(usize),
    /// An attempt reaches its executor.
    Attempt(usize),
    /// A run is over.
    RunEnd { attempt: usize, ok: bool },
    /// The end of an attempt reaches its ingress.
    Reply { attempt: usize, end: End },
    /// Executors look through their lines.
    Sweep,
    /// Something changes.
    Change(Change),
}

/// How an attempt ends.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum End {
    Served(Duration),
    Failed,
    Lost,
    Rejected,
    Refused(Duration),
}

/// Events by time; those of the same time in the order in which they were added.
#[derive(Default)]
pub struct Agenda {
    heap: BinaryHeap<Reverse<(Instant, usize)>>,
    events: Vec<Option<Event>>,
}

impl Agenda {
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
