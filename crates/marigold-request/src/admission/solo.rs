//! Requests that run with no other beside them.

use std::time::Duration;

use marigold_types::Class;
use tokio::time::Instant;

use crate::admission::waiting_line::{Waiting, WaitingLine};
use crate::admission::{Permit, Ticket};

/// The most requests that wait to run alone.
const MAX_WAITING: usize = 4;
/// How long the other slots are held free for a request that is to run alone.
const MAX_HOLD: Duration = Duration::from_secs(1);

/// Where the requests that are to run alone stand.
///
/// The slots empty for at most a second; after that the request runs as the only suspect beside
/// others, so that long transfers do not block it and it does not block the server.
#[derive(Debug, Clone, Default)]
pub struct Solo {
    line: WaitingLine,
    running: Option<Permit>,
    is_alone: bool,
    hold: Option<Instant>,
}

impl Solo {
    /// Returns whether another request may wait to run alone.
    pub fn has_space(&self) -> bool {
        self.line.len() < MAX_WAITING
    }

    /// Returns whether other requests of `class` are kept out at `now`.
    ///
    /// The first class waits only for one that runs, not for the slots to empty.
    pub fn keeps_out(&self, class: Class, now: Instant) -> bool {
        let is_held = self.hold.is_some_and(|until| now < until);
        self.is_alone || is_held && class != Class::Critical
    }

    /// Forgets all that wait.
    pub fn clear(&mut self) {
        self.line = WaitingLine::default();
        self.hold = None;
    }

    /// Returns whether the first one may run while `busy` others do.
    pub fn may_run(&self, busy: usize, slots: u32, now: Instant) -> bool {
        let is_held = self.hold.is_some_and(|until| now < until);
        let has_slot = u32::try_from(busy).is_ok_and(|busy| busy < slots);
        self.running.is_none() && has_slot && (busy == 0 || !is_held)
    }

    /// Adds a request and starts to hold the slots free for it.
    pub fn push(&mut self, ticket: Ticket, waiting: Waiting, now: Instant) {
        self.line.push(ticket, waiting);
        if self.running.is_none() {
            self.hold.get_or_insert(now + MAX_HOLD);
        }
    }

    /// Takes the first request.
    pub fn pop(&mut self) -> Option<Ticket> {
        self.line.pop()
    }

    /// Takes a request out.
    pub fn remove(&mut self, waiting: Waiting) {
        self.line.remove(waiting);
        if self.line.len() == 0 {
            self.hold = None;
        }
    }

    /// Takes a request that is to be given up by `now`.
    pub fn pop_ended(&mut self, now: Instant) -> Option<Ticket> {
        let ticket = self.line.pop_ended(now);
        if self.line.len() == 0 {
            self.hold = None;
        }
        ticket
    }

    /// Counts a request that runs while `busy` others do.
    pub fn started(&mut self, permit: Permit, busy: usize) {
        self.running = Some(permit);
        self.is_alone = busy == 0;
        self.hold = None;
    }

    /// Counts a request that has ended, whichever it is.
    pub fn ended(&mut self, permit: Permit, now: Instant) {
        if self.running != Some(permit) {
            return;
        }
        self.running = None;
        self.is_alone = false;
        if self.line.len() > 0 {
            self.hold = Some(now + MAX_HOLD);
        }
    }

    /// Returns when something is to be done next.
    pub fn next_end(&self) -> Option<Instant> {
        let times = [self.hold, self.line.next_end()];
        times.into_iter().flatten().min()
    }
}
