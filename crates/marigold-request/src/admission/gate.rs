//! The slots of one backend server.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::time::Duration;

use marigold_types::{CallerName, Class, Interval, SlotCount};
use slotmap::SlotMap;
use tokio::time::Instant;

use crate::admission::pace::Pace;
use crate::admission::slot_pool::SlotPool;
use crate::admission::solo::Solo;
use crate::admission::waiting_line::{Waiting, WaitingLine};
use crate::admission::{
    AdmissionDecision, AdmissionRequest, Dropped, Granted, Permit, QueueUpdate, ServiceTime, Ticket,
};
use crate::{LoadReport, Refusal, RefusalReason};

const CLASSES: usize = Class::ALL.len();
/// One in so many freed slots goes to the last class that waits, so that it is never starved.
const TURN: u32 = 16;
/// The turns on which the second of three waiting classes goes first, so that it gets more than the
/// last.
const SECOND_TURNS: [u32; 2] = [5, 11];
/// When a request that could not run alone is asked to come back.
const SOLO_RETRY: Interval = Interval::from_millis(1_000);
/// The part of an estimated wait that must be left over, since estimates are averages.
const MARGIN_PART: u32 = 2;
/// A named caller takes at most one place in so many of a line.
const CALLER_PART: usize = 2;
/// The least time after which a refused caller is asked to come back.
const MIN_RETRY: Duration = Duration::from_millis(50);

/// A request in a line.
#[derive(Debug, Clone)]
struct Queued {
    class: Class,
    waiting: Waiting,
    exclusive: bool,
    caller: Option<CallerName>,
}

/// Gives out the slots of the backend server beside the daemon.
///
/// A request waits only if the estimate says that it can still end by its deadline; otherwise it is
/// refused at once with the time to come back. Every operation takes logarithmic time.
#[derive(Debug)]
pub struct AdmissionController {
    slots: SlotPool,
    /// Requests that may wait for each slot, in each class.
    depth: u32,
    queued: SlotMap<Ticket, Queued>,
    lines: [WaitingLine; CLASSES],
    /// The places in lines that each named caller takes.
    callers: BTreeMap<(Class, CallerName), usize>,
    solo: Solo,
    times: [ServiceTime; CLASSES],
    paces: [Pace; CLASSES],
    next_place: u64,
    turn: u32,
}

impl AdmissionController {
    /// Builds the gate of a backend server with `slots`, where `depth` requests of each class may
    /// wait for each slot.
    #[must_use]
    pub fn new(slots: SlotCount, depth: u32) -> Self {
        Self {
            slots: SlotPool::new(slots),
            depth,
            queued: SlotMap::with_key(),
            lines: Default::default(),
            callers: BTreeMap::new(),
            solo: Solo::default(),
            times: [ServiceTime::default(); CLASSES],
            paces: [Pace::default(); CLASSES],
            next_place: 0,
            turn: 0,
        }
    }

    /// Returns how busy the backend server is.
    #[must_use]
    pub fn load(&self) -> LoadReport {
        LoadReport {
            busy: count(self.slots.busy()),
            queued: count(self.queued.len()),
            slots: SlotCount(self.slots.slots()),
        }
    }

    /// Decides on a request.
    pub fn offer(&mut self, request: &AdmissionRequest, now: Instant) -> AdmissionDecision {
        if request.deadline <= now {
            return AdmissionDecision::Refuse(Refusal::permanent(RefusalReason::Deadline));
        }
        self.slots.asked(request.class, now);
        if request.exclusive {
            return self.offer_alone(request, now);
        }
        let class = request.class;
        if self.lines[class.index()].len() == 0 && self.has_room(class, now) {
            return AdmissionDecision::Run(self.slots.take(class, now));
        }
        self.queue(request, now)
    }

    /// Takes back the slot of a request that has ended.
    pub fn release(&mut self, permit: Permit, now: Instant) -> QueueUpdate {
        if let Some(running) = self.slots.give_back(permit) {
            let index = running.class.index();
            self.times[index].observe(now.saturating_duration_since(running.since));
            self.solo.ended(permit, now);
        }
        self.advance(now)
    }

    /// Takes a request out of its line, because its caller has left.
    pub fn cancel(&mut self, ticket: Ticket) {
        if let Some(queued) = self.leave(ticket) {
            if queued.exclusive {
                self.solo.remove(queued.waiting);
            } else {
                self.lines[queued.class.index()].remove(queued.waiting);
            }
        }
    }

    /// Gives up the requests that cannot make their deadline any more.
    pub fn expire(&mut self, now: Instant) -> QueueUpdate {
        self.advance(now)
    }

    /// Returns when [`AdmissionController::expire`] has something to do next.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Instant> {
        let ends = self.lines.iter().map(WaitingLine::next_end);
        ends.chain([self.solo.next_end()]).flatten().min()
    }

    /// Takes the slots that the backend server announced last.
    pub fn set_slots(&mut self, slots: SlotCount, now: Instant) -> QueueUpdate {
        self.slots.set_slots(slots);
        self.advance(now)
    }

    /// Refuses everything that waits, since the backend server is gone or leaving.
    pub fn drop_waiting(&mut self, reason: RefusalReason) -> Vec<Dropped> {
        let refusal = Refusal::retryable(reason, interval(MIN_RETRY));
        self.lines = Default::default();
        self.callers.clear();
        self.solo.clear();
        let tickets = self.queued.drain().map(|(ticket, _)| ticket);
        tickets.map(|ticket| Dropped { ticket, refusal }).collect()
    }

    fn queue(&mut self, request: &AdmissionRequest, now: Instant) -> AdmissionDecision {
        let index = request.class.index();
        let wait = self.wait(request.class, self.lines[index].len() + 1, now);
        let bound = self.slots.slots().saturating_mul(self.depth);
        let bound = usize::try_from(bound).unwrap_or(usize::MAX);
        let is_full = self.lines[index].len() >= bound || self.is_greedy(request, bound);
        let until = request
            .deadline
            .checked_sub(self.times[index].mean())
            .unwrap_or(now);
        if is_full || now + wait + wait / MARGIN_PART > until {
            let delay = interval(wait.max(MIN_RETRY));
            return AdmissionDecision::Refuse(Refusal::retryable(RefusalReason::Overloaded, delay));
        }
        let waiting = Waiting {
            place: self.next_place,
            until,
        };
        self.next_place += 1;
        let ticket = self.enter(request, waiting);
        self.lines[index].push(ticket, waiting);
        self.paces[index].begin(now);
        AdmissionDecision::Wait(ticket)
    }

    /// Decides on a request that is to run with no other beside it.
    fn offer_alone(&mut self, request: &AdmissionRequest, now: Instant) -> AdmissionDecision {
        if self.slots.busy() == 0 && self.queued.is_empty() && self.slots.slots() > 0 {
            let permit = self.slots.take(request.class, now);
            self.solo.started(permit, 0);
            return AdmissionDecision::Run(permit);
        }
        if self.slots.slots() == 0 || !self.solo.has_space() {
            let refusal = Refusal::retryable(RefusalReason::Overloaded, SOLO_RETRY);
            return AdmissionDecision::Refuse(refusal);
        }
        let waiting = Waiting {
            place: self.next_place,
            until: request.deadline,
        };
        self.next_place += 1;
        let ticket = self.enter(request, waiting);
        self.solo.push(ticket, waiting, now);
        AdmissionDecision::Wait(ticket)
    }

    /// Estimates how long the request of `class` at `place` in its line, from 1, waits for a slot.
    fn wait(&self, class: Class, place: usize, now: Instant) -> Duration {
        let before = Class::ALL.iter().filter(|other| **other <= class);
        let work: Duration = before
            .map(|other| {
                let ahead = u32::try_from(self.lines[other.index()].len()).unwrap_or(u32::MAX);
                self.times[other.index()].mean().saturating_mul(ahead)
            })
            .sum();
        let own = class.index();
        let usual = (work + self.times[own].mean()) / self.slots.room(class, now).max(1);
        usual.max(self.paces[own].wait(place, self.times[own].mean(), now))
    }

    fn has_room(&self, class: Class, now: Instant) -> bool {
        !self.solo.keeps_out(class, now) && self.slots.has_room(class, now)
    }

    /// Returns whether a named caller already takes its part of a line.
    fn is_greedy(&self, request: &AdmissionRequest, bound: usize) -> bool {
        let Some(caller) = request.caller.clone() else {
            return false;
        };
        let taken = self.callers.get(&(request.class, caller));
        taken.is_some_and(|taken| *taken >= bound.div_ceil(CALLER_PART))
    }

    /// Notes a request that waits.
    fn enter(&mut self, request: &AdmissionRequest, waiting: Waiting) -> Ticket {
        if let Some(caller) = request.caller.clone() {
            *self.callers.entry((request.class, caller)).or_default() += 1;
        }
        self.queued.insert(Queued {
            class: request.class,
            waiting,
            exclusive: request.exclusive,
            caller: request.caller.clone(),
        })
    }

    /// Forgets a request that waits no more.
    fn leave(&mut self, ticket: Ticket) -> Option<Queued> {
        let queued = self.queued.remove(ticket)?;
        if let Some(caller) = queued.caller.clone()
            && let Entry::Occupied(mut taken) = self.callers.entry((queued.class, caller))
        {
            *taken.get_mut() -= 1;
            if *taken.get() == 0 {
                taken.remove();
            }
        }
        Some(queued)
    }

    /// Gives up what is late, then fills the free slots.
    fn advance(&mut self, now: Instant) -> QueueUpdate {
        let mut moves = QueueUpdate::default();
        while let Some(ticket) = self.solo.pop_ended(now) {
            self.leave(ticket);
            let refusal = Refusal::retryable(RefusalReason::Overloaded, SOLO_RETRY);
            moves.dropped.push(Dropped { ticket, refusal });
        }
        for class in Class::ALL {
            while let Some(ticket) = self.lines[class.index()].pop_ended(now) {
                self.leave(ticket);
                let delay = interval(self.wait(class, 1, now).max(MIN_RETRY));
                let refusal = Refusal::retryable(RefusalReason::Overloaded, delay);
                moves.dropped.push(Dropped { ticket, refusal });
            }
        }
        for class in Class::ALL {
            self.shorten(class, &mut moves, now);
        }
        self.advance_solo(&mut moves, now);
        while let Some(class) = self.next_class(now) {
            let Some(ticket) = self.lines[class.index()].pop() else {
                break;
            };
            self.leave(ticket);
            self.paces[class.index()].moved(now);
            let permit = self.slots.take(class, now);
            moves.granted.push(Granted { ticket, permit });
        }
        for (line, pace) in self.lines.iter().zip(&mut self.paces) {
            if line.len() == 0 {
                pace.end();
            }
        }
        moves
    }

    /// Gives up the last requests of a line that has slowed down too much for them.
    fn shorten(&mut self, class: Class, moves: &mut QueueUpdate, now: Instant) {
        let index = class.index();
        while let Some(until) = self.lines[index].last_until() {
            let usual = self.times[index].mean();
            let wait = self.paces[index].wait(self.lines[index].len(), usual, now);
            if now + wait <= until {
                return;
            }
            let Some(ticket) = self.lines[index].pop_last() else {
                return;
            };
            self.leave(ticket);
            let refusal = Refusal::retryable(RefusalReason::Overloaded, interval(wait));
            moves.dropped.push(Dropped { ticket, refusal });
        }
    }

    /// Runs the first request that is to run alone, if it is time.
    fn advance_solo(&mut self, moves: &mut QueueUpdate, now: Instant) {
        let busy = self.slots.busy();
        if !self.solo.may_run(busy, self.slots.slots(), now) {
            return;
        }
        let Some(ticket) = self.solo.pop() else {
            return;
        };
        if let Some(queued) = self.leave(ticket) {
            let permit = self.slots.take(queued.class, now);
            self.solo.started(permit, busy);
            moves.granted.push(Granted { ticket, permit });
        }
    }

    /// Returns the class whose first waiting request runs next.
    fn next_class(&mut self, now: Instant) -> Option<Class> {
        let can_run =
            |class: &Class| self.lines[class.index()].len() > 0 && self.has_room(*class, now);
        let waiting: Vec<Class> = Class::ALL.into_iter().filter(can_run).collect();
        let first = *waiting.first()?;
        self.turn = (self.turn + 1) % TURN;
        match waiting[..] {
            [.., last] if self.turn == 0 => Some(last),
            [_, second, _] if SECOND_TURNS.contains(&self.turn) => Some(second),
            _ => Some(first),
        }
    }
}

fn count(len: usize) -> SlotCount {
    SlotCount(u32::try_from(len).unwrap_or(u32::MAX))
}

fn interval(time: Duration) -> Interval {
    let millis = time.as_millis().max(1);
    Interval::from_millis(u64::try_from(millis).unwrap_or(u64::MAX))
}
