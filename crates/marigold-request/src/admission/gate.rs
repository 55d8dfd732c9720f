//! The slots of one backend server.

use std::time::Duration;

use marigold_types::{Class, Interval, SlotCount};
use slotmap::SlotMap;
use tokio::time::Instant;

use crate::admission::waiting_line::{Waiting, WaitingLine};
use crate::admission::{Admit, AdmitRequest, Dropped, Granted, Moves, Permit, ServiceTime, Ticket};
use crate::{LoadReport, Refusal, RefusalReason};

const CLASSES: usize = Class::ALL.len();
/// One slot in so many is kept for the first class.
const RESERVE_PART: u32 = 8;
/// The last class holds at most one slot in so many while others may need it.
const BATCH_PART: u32 = 2;
/// One in so many freed slots goes to the last class that waits, so that it is never starved.
const TURN: u32 = 16;
/// The least time after which a refused caller is asked to come back.
const MIN_RETRY: Duration = Duration::from_millis(50);

/// A request that holds a slot.
#[derive(Debug, Clone, Copy)]
struct Running {
    class: Class,
    since: Instant,
}

/// A request in a line.
#[derive(Debug, Clone, Copy)]
struct Queued {
    class: Class,
    waiting: Waiting,
}

/// Gives out the slots of the backend server beside the daemon.
///
/// A request waits only if the estimate says that it can still end by its deadline; otherwise it is
/// refused at once with the time to come back. Every operation takes logarithmic time.
#[derive(Debug)]
pub struct Admission {
    slots: u32,
    /// Requests that may wait for each slot, in each class.
    depth: u32,
    running: SlotMap<Permit, Running>,
    held: [u32; CLASSES],
    queued: SlotMap<Ticket, Queued>,
    lines: [WaitingLine; CLASSES],
    times: [ServiceTime; CLASSES],
    next_place: u64,
    turn: u32,
}

impl Admission {
    /// Builds the gate of a backend server with `slots`, where `depth` requests of each class may
    /// wait for each slot.
    #[must_use]
    pub fn new(slots: SlotCount, depth: u32) -> Self {
        Self {
            slots: slots.0,
            depth,
            running: SlotMap::with_key(),
            held: [0; CLASSES],
            queued: SlotMap::with_key(),
            lines: Default::default(),
            times: [ServiceTime::default(); CLASSES],
            next_place: 0,
            turn: 0,
        }
    }

    /// Returns how busy the backend server is.
    #[must_use]
    pub fn load(&self) -> LoadReport {
        LoadReport {
            busy: count(self.running.len()),
            queued: count(self.queued.len()),
            slots: SlotCount(self.slots),
        }
    }

    /// Decides on a request.
    pub fn offer(&mut self, request: &AdmitRequest, now: Instant) -> Admit {
        if request.deadline <= now {
            return Admit::Refuse(Refusal::last(RefusalReason::Deadline));
        }
        let class = request.class;
        if self.lines[class.index()].len() == 0 && self.has_room(class) {
            return Admit::Run(self.run(class, now));
        }
        self.queue(request, now)
    }

    /// Takes back the slot of a request that has ended.
    pub fn release(&mut self, permit: Permit, now: Instant) -> Moves {
        if let Some(running) = self.running.remove(permit) {
            let index = running.class.index();
            self.held[index] -= 1;
            self.times[index].observe(now.saturating_duration_since(running.since));
        }
        self.advance(now)
    }

    /// Takes a request out of its line, because its caller has left.
    pub fn cancel(&mut self, ticket: Ticket) {
        if let Some(queued) = self.queued.remove(ticket) {
            self.lines[queued.class.index()].remove(queued.waiting);
        }
    }

    /// Gives up the requests that cannot make their deadline any more.
    pub fn expire(&mut self, now: Instant) -> Moves {
        self.advance(now)
    }

    /// Returns when [`Admission::expire`] has something to do next.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Instant> {
        self.lines.iter().filter_map(WaitingLine::next_end).min()
    }

    /// Takes the slots that the backend server announced last.
    pub fn set_slots(&mut self, slots: SlotCount, now: Instant) -> Moves {
        self.slots = slots.0;
        self.advance(now)
    }

    /// Refuses everything that waits, since the backend server is gone or leaving.
    pub fn drop_waiting(&mut self, reason: RefusalReason) -> Vec<Dropped> {
        let refusal = Refusal::after(reason, interval(MIN_RETRY));
        self.lines = Default::default();
        let tickets = self.queued.drain().map(|(ticket, _)| ticket);
        tickets.map(|ticket| Dropped { ticket, refusal }).collect()
    }

    fn queue(&mut self, request: &AdmitRequest, now: Instant) -> Admit {
        let index = request.class.index();
        let wait = self.wait(request.class);
        let bound = self.slots.saturating_mul(self.depth);
        let is_full = self.lines[index].len() >= usize::try_from(bound).unwrap_or(usize::MAX);
        let until = request
            .deadline
            .checked_sub(self.times[index].mean())
            .unwrap_or(now);
        if is_full || now + wait > until {
            let delay = interval(wait.max(MIN_RETRY));
            return Admit::Refuse(Refusal::after(RefusalReason::Overloaded, delay));
        }
        let waiting = Waiting {
            place: self.next_place,
            until,
        };
        self.next_place += 1;
        let ticket = self.queued.insert(Queued {
            class: request.class,
            waiting,
        });
        self.lines[index].push(ticket, waiting);
        Admit::Wait(ticket)
    }

    /// Estimates how long a request of `class` would wait behind those that go before it.
    fn wait(&self, class: Class) -> Duration {
        let before = Class::ALL.iter().filter(|other| **other <= class);
        let work: Duration = before
            .map(|other| {
                let ahead = u32::try_from(self.lines[other.index()].len()).unwrap_or(u32::MAX);
                self.times[other.index()].mean().saturating_mul(ahead)
            })
            .sum();
        (work + self.times[class.index()].mean()) / self.room(class).max(1)
    }

    /// Returns the slots that `class` may hold when no other runs.
    fn room(&self, class: Class) -> u32 {
        let open = self.slots - self.reserve();
        match class {
            Class::Critical => self.slots,
            Class::Interactive => open,
            Class::Batch => (self.slots / BATCH_PART)
                .clamp(1, open.max(1))
                .min(self.slots),
        }
    }

    /// Returns the slots that are kept for the first class.
    fn reserve(&self) -> u32 {
        if self.slots < 2 {
            0
        } else {
            (self.slots / RESERVE_PART).max(1)
        }
    }

    fn has_room(&self, class: Class) -> bool {
        let total: u32 = self.held.iter().sum();
        let later = self.held[Class::Interactive.index()] + self.held[Class::Batch.index()];
        let own = match class {
            Class::Critical => total,
            Class::Interactive => later,
            Class::Batch => self.held[Class::Batch.index()],
        };
        let open = class == Class::Critical || later < self.slots - self.reserve();
        total < self.slots && open && own < self.room(class)
    }

    fn run(&mut self, class: Class, now: Instant) -> Permit {
        self.held[class.index()] += 1;
        self.running.insert(Running { class, since: now })
    }

    /// Gives up what is late, then fills the free slots.
    fn advance(&mut self, now: Instant) -> Moves {
        let mut moves = Moves::default();
        for class in Class::ALL {
            while let Some(ticket) = self.lines[class.index()].pop_ended(now) {
                self.queued.remove(ticket);
                let delay = interval(self.wait(class).max(MIN_RETRY));
                let refusal = Refusal::after(RefusalReason::Overloaded, delay);
                moves.dropped.push(Dropped { ticket, refusal });
            }
        }
        while let Some(class) = self.next_class() {
            let Some(ticket) = self.lines[class.index()].pop() else {
                break;
            };
            self.queued.remove(ticket);
            let permit = self.run(class, now);
            moves.granted.push(Granted { ticket, permit });
        }
        moves
    }

    /// Returns the class whose first waiting request runs next.
    fn next_class(&mut self) -> Option<Class> {
        let can_run = |class: &Class| self.lines[class.index()].len() > 0 && self.has_room(*class);
        let first = Class::ALL.into_iter().find(can_run)?;
        let last = Class::ALL.into_iter().rev().find(can_run)?;
        self.turn += 1;
        if self.turn >= TURN {
            self.turn = 0;
            return Some(last);
        }
        Some(first)
    }
}

fn count(len: usize) -> SlotCount {
    SlotCount(u32::try_from(len).unwrap_or(u32::MAX))
}

fn interval(time: Duration) -> Interval {
    let millis = time.as_millis().max(1);
    Interval::from_millis(u64::try_from(millis).unwrap_or(u64::MAX))
}
