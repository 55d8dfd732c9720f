//! Requests that must run with no other request at the backend server.

use std::time::Duration;

use marigold_types::Class;
use tokio::time::Instant;

use crate::admission::wait_queue::{QueueEntry, WaitQueue};
use crate::admission::{Permit, Ticket};

/// The maximum number of waiting exclusive requests.
const MAX_WAITING: usize = 4;
/// How long the other slots are kept free for an exclusive request.
const MAX_HOLD_TIME: Duration = Duration::from_secs(1);

/// Schedules exclusive requests, which are suspected of crashing the backend server.
///
/// Free slots are held for at most one second while the others empty. After that the request runs
/// beside normal requests, but never beside another suspect, so that long transfers do not block it
/// and it does not block the backend server.
#[derive(Debug, Clone, Default)]
pub struct ExclusiveQueue {
    queue: WaitQueue,
    running: Option<Permit>,
    /// Whether the running exclusive request started with no other beside it.
    runs_alone: bool,
    /// The end of the current hold on free slots.
    hold_until: Option<Instant>,
}

impl ExclusiveQueue {
    /// Returns whether another exclusive request may wait.
    pub fn has_space(&self) -> bool {
        self.queue.len() < MAX_WAITING
    }

    /// Returns whether normal requests of `class` must wait for an exclusive request.
    ///
    /// Critical requests wait only for one that already runs alone, not for the slots to empty.
    pub fn blocks(&self, class: Class, now: Instant) -> bool {
        let is_held = self.hold_until.is_some_and(|until| now < until);
        self.runs_alone || is_held && class != Class::Critical
    }

    /// Removes all waiting requests and ends the hold.
    pub fn clear(&mut self) {
        self.queue = WaitQueue::default();
        self.hold_until = None;
    }

    /// Returns whether the oldest request may run while `busy` of `slots` slots are held.
    pub fn may_run(&self, busy: usize, slots: u32, now: Instant) -> bool {
        let is_held = self.hold_until.is_some_and(|until| now < until);
        let has_slot = u32::try_from(busy).is_ok_and(|busy| busy < slots);
        self.running.is_none() && has_slot && (busy == 0 || !is_held)
    }

    /// Adds a request and starts to hold free slots for it.
    pub fn push(&mut self, ticket: Ticket, entry: QueueEntry, now: Instant) {
        self.queue.push(ticket, entry);
        if self.running.is_none() {
            self.hold_until.get_or_insert(now + MAX_HOLD_TIME);
        }
    }

    /// Removes the oldest request.
    pub fn pop(&mut self) -> Option<Ticket> {
        self.queue.pop()
    }

    /// Removes the request at `entry`.
    pub fn remove(&mut self, entry: QueueEntry) {
        self.queue.remove(entry);
        if self.queue.len() == 0 {
            self.hold_until = None;
        }
    }

    /// Removes a request that has expired by `now`.
    pub fn pop_expired(&mut self, now: Instant) -> Option<Ticket> {
        let ticket = self.queue.pop_expired(now);
        if self.queue.len() == 0 {
            self.hold_until = None;
        }
        ticket
    }

    /// Records that an exclusive request starts while `busy` other requests run.
    pub fn on_start(&mut self, permit: Permit, busy: usize) {
        self.running = Some(permit);
        self.runs_alone = busy == 0;
        self.hold_until = None;
    }

    /// Records the end of any request, exclusive or not.
    pub fn on_end(&mut self, permit: Permit, now: Instant) {
        if self.running != Some(permit) {
            return;
        }
        self.running = None;
        self.runs_alone = false;
        if self.queue.len() > 0 {
            self.hold_until = Some(now + MAX_HOLD_TIME);
        }
    }

    /// Returns when the hold ends or the next request expires.
    pub fn next_event(&self) -> Option<Instant> {
        let times = [self.hold_until, self.queue.next_expiry()];
        times.into_iter().flatten().min()
    }
}
