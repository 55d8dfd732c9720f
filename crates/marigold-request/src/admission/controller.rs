//! Admission control for the slots of one backend server.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::time::Duration;

use marigold_types::{CallerName, Class, Interval, SlotCount};
use slotmap::SlotMap;
use tokio::time::Instant;

use crate::admission::dequeue_interval::DequeueInterval;
use crate::admission::exclusive_queue::ExclusiveQueue;
use crate::admission::slot_pool::SlotPool;
use crate::admission::wait_queue::{QueueEntry, WaitQueue};
use crate::admission::{
    AdmissionDecision, AdmissionRequest, Dropped, Granted, Permit, QueueUpdate, ServiceTime, Ticket,
};
use crate::{LoadReport, Refusal, RefusalReason};

const CLASSES: usize = Class::ALL.len();
/// The length of the scheduling cycle, in freed slots; the last one goes to the least urgent waiting
/// class, so that it is never starved.
const SCHEDULE_CYCLE: u32 = 16;
/// The turns of the cycle on which the second of three waiting classes goes first, so that it gets
/// more slots than the least urgent one.
const SECOND_CLASS_TURNS: [u32; 2] = [5, 11];
/// The retry delay for an exclusive request that could not run.
const EXCLUSIVE_RETRY_DELAY: Interval = Interval::from_millis(1_000);
/// An estimated wait is extended by itself divided by this number, since estimates are averages.
const WAIT_MARGIN_DIVISOR: u32 = 2;
/// A named caller may take up at most one in this number of the places of a queue.
const CALLER_SHARE_DIVISOR: usize = 2;
/// The shortest retry delay for an overloaded backend server.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A request in a queue.
#[derive(Debug, Clone)]
struct QueuedRequest {
    class: Class,
    entry: QueueEntry,
    exclusive: bool,
    caller: Option<CallerName>,
}

/// Assigns the slots of the backend server that this daemon serves, by priority class.
///
/// A request waits only if it is estimated to end by its deadline. Otherwise it is refused at once
/// with a retry delay. Every operation takes logarithmic time.
///
/// The controller of the sidecar, which schedules by value, is in marigold-dispatch.
#[derive(Debug)]
pub struct AdmissionController {
    slots: SlotPool,
    /// The maximum queue length of each class, per slot.
    max_queue_per_slot: u32,
    queued: SlotMap<Ticket, QueuedRequest>,
    queues: [WaitQueue; CLASSES],
    /// The number of waiting requests of each named caller.
    queued_by_caller: BTreeMap<(Class, CallerName), usize>,
    exclusive: ExclusiveQueue,
    service_times: [ServiceTime; CLASSES],
    dequeue_intervals: [DequeueInterval; CLASSES],
    next_sequence: u64,
    /// The position in the scheduling cycle.
    turn: u32,
}

impl AdmissionController {
    /// Creates the controller of a backend server with `slots` slots, where each class may queue
    /// `max_queue_per_slot` requests per slot.
    #[must_use]
    pub fn new(slots: SlotCount, max_queue_per_slot: u32) -> Self {
        Self {
            slots: SlotPool::new(slots),
            max_queue_per_slot,
            queued: SlotMap::with_key(),
            queues: Default::default(),
            queued_by_caller: BTreeMap::new(),
            exclusive: ExclusiveQueue::default(),
            service_times: [ServiceTime::default(); CLASSES],
            dequeue_intervals: [DequeueInterval::default(); CLASSES],
            next_sequence: 0,
            turn: 0,
        }
    }

    /// Returns the current load of the backend server.
    #[must_use]
    pub fn load(&self) -> LoadReport {
        LoadReport {
            busy: count(self.slots.busy()),
            queued: count(self.queued.len()),
            slots: SlotCount(self.slots.slots()),
        }
    }

    /// Decides whether a request runs, waits or is refused.
    pub fn offer(&mut self, request: &AdmissionRequest, now: Instant) -> AdmissionDecision {
        if request.deadline <= now {
            return AdmissionDecision::Refuse(Refusal::permanent(RefusalReason::Deadline));
        }
        self.slots.record_request(request.class, now);
        if request.exclusive {
            return self.offer_exclusive(request, now);
        }
        let class = request.class;
        if self.queues[class.index()].len() == 0 && self.has_room(class, now) {
            return AdmissionDecision::Run(self.slots.acquire(class, now));
        }
        self.enqueue(request, now)
    }

    /// Frees the slot of a request that has ended; a permit that was already released frees none.
    pub fn release(&mut self, permit: Permit, now: Instant) -> QueueUpdate {
        if let Some(running) = self.slots.release(permit) {
            let index = running.class.index();
            self.service_times[index].observe(now.saturating_duration_since(running.since));
            self.exclusive.on_end(permit, now);
        }
        self.advance(now)
    }

    /// Removes a waiting request whose caller has disconnected.
    pub fn cancel(&mut self, ticket: Ticket) {
        if let Some(queued) = self.remove_queued(ticket) {
            if queued.exclusive {
                self.exclusive.remove(queued.entry);
            } else {
                self.queues[queued.class.index()].remove(queued.entry);
            }
        }
    }

    /// Drops the requests that can no longer meet their deadline.
    pub fn expire(&mut self, now: Instant) -> QueueUpdate {
        self.advance(now)
    }

    /// Returns when [`AdmissionController::expire`] is due next.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Instant> {
        let expiries = self.queues.iter().map(WaitQueue::next_expiry);
        let next_exclusive = self.exclusive.next_event();
        expiries.chain([next_exclusive]).flatten().min()
    }

    /// Applies the number of slots that the backend server announced last.
    pub fn set_slots(&mut self, slots: SlotCount, now: Instant) -> QueueUpdate {
        self.slots.set_slots(slots);
        self.advance(now)
    }

    /// Refuses all waiting requests when the backend server has failed or is draining.
    pub fn drop_waiting(&mut self, reason: RefusalReason) -> Vec<Dropped> {
        let refusal = Refusal::retryable(reason, interval(MIN_RETRY_DELAY));
        self.queues = Default::default();
        self.queued_by_caller.clear();
        self.exclusive.clear();
        let tickets = self.queued.drain().map(|(ticket, _)| ticket);
        tickets.map(|ticket| Dropped { ticket, refusal }).collect()
    }

    fn enqueue(&mut self, request: &AdmissionRequest, now: Instant) -> AdmissionDecision {
        let index = request.class.index();
        let wait = self.estimate_wait(request.class, self.queues[index].len() + 1, now);
        let max_len = self.slots.slots().saturating_mul(self.max_queue_per_slot);
        let max_len = usize::try_from(max_len).unwrap_or(usize::MAX);
        let is_full =
            self.queues[index].len() >= max_len || self.exceeds_caller_share(request, max_len);
        let expires_at = request
            .deadline
            .checked_sub(self.service_times[index].mean())
            .unwrap_or(now);
        if is_full || now + wait + wait / WAIT_MARGIN_DIVISOR > expires_at {
            let delay = interval(wait.max(MIN_RETRY_DELAY));
            return AdmissionDecision::Refuse(Refusal::retryable(RefusalReason::Overloaded, delay));
        }
        let entry = QueueEntry {
            sequence: self.next_sequence,
            expires_at,
        };
        self.next_sequence += 1;
        let ticket = self.add_queued(request, entry);
        self.queues[index].push(ticket, entry);
        self.dequeue_intervals[index].start(now);
        AdmissionDecision::Wait(ticket)
    }

    /// Decides on an exclusive request.
    fn offer_exclusive(&mut self, request: &AdmissionRequest, now: Instant) -> AdmissionDecision {
        if self.slots.busy() == 0 && self.queued.is_empty() && self.slots.slots() > 0 {
            let permit = self.slots.acquire(request.class, now);
            self.exclusive.on_start(permit, 0);
            return AdmissionDecision::Run(permit);
        }
        if self.slots.slots() == 0 || !self.exclusive.has_space() {
            let refusal = Refusal::retryable(RefusalReason::Overloaded, EXCLUSIVE_RETRY_DELAY);
            return AdmissionDecision::Refuse(refusal);
        }
        let entry = QueueEntry {
            sequence: self.next_sequence,
            expires_at: request.deadline,
        };
        self.next_sequence += 1;
        let ticket = self.add_queued(request, entry);
        self.exclusive.push(ticket, entry, now);
        AdmissionDecision::Wait(ticket)
    }

    /// Estimates how long the request of `class` at `position` in its queue waits for a slot.
    ///
    /// Positions count from 1.
    fn estimate_wait(&self, class: Class, position: usize, now: Instant) -> Duration {
        let served_first = Class::ALL.iter().filter(|other| **other <= class);
        let queued_work: Duration = served_first
            .map(|other| {
                let ahead = u32::try_from(self.queues[other.index()].len()).unwrap_or(u32::MAX);
                self.service_times[other.index()]
                    .mean()
                    .saturating_mul(ahead)
            })
            .sum();
        let service_time = self.service_times[class.index()].mean();
        let by_work = (queued_work + service_time) / self.slots.class_limit(class, now).max(1);
        let interval = &self.dequeue_intervals[class.index()];
        by_work.max(interval.estimate_wait(position, service_time, now))
    }

    fn has_room(&self, class: Class, now: Instant) -> bool {
        !self.exclusive.blocks(class, now) && self.slots.has_room(class, now)
    }

    /// Returns whether a named caller already has its full share of a queue of `max_len` requests.
    fn exceeds_caller_share(&self, request: &AdmissionRequest, max_len: usize) -> bool {
        let Some(caller) = request.caller.clone() else {
            return false;
        };
        let queued = self.queued_by_caller.get(&(request.class, caller));
        queued.is_some_and(|queued| *queued >= max_len.div_ceil(CALLER_SHARE_DIVISOR))
    }

    /// Registers a waiting request.
    fn add_queued(&mut self, request: &AdmissionRequest, entry: QueueEntry) -> Ticket {
        if let Some(caller) = request.caller.clone() {
            let key = (request.class, caller);
            *self.queued_by_caller.entry(key).or_default() += 1;
        }
        self.queued.insert(QueuedRequest {
            class: request.class,
            entry,
            exclusive: request.exclusive,
            caller: request.caller.clone(),
        })
    }

    /// Unregisters a request that no longer waits.
    fn remove_queued(&mut self, ticket: Ticket) -> Option<QueuedRequest> {
        let queued = self.queued.remove(ticket)?;
        if let Some(caller) = queued.caller.clone()
            && let Entry::Occupied(mut count) = self.queued_by_caller.entry((queued.class, caller))
        {
            *count.get_mut() -= 1;
            if *count.get() == 0 {
                count.remove();
            }
        }
        Some(queued)
    }

    /// Drops expired requests, then assigns the free slots.
    fn advance(&mut self, now: Instant) -> QueueUpdate {
        let mut update = QueueUpdate::default();
        while let Some(ticket) = self.exclusive.pop_expired(now) {
            self.remove_queued(ticket);
            let refusal = Refusal::retryable(RefusalReason::Overloaded, EXCLUSIVE_RETRY_DELAY);
            update.dropped.push(Dropped { ticket, refusal });
        }
        for class in Class::ALL {
            while let Some(ticket) = self.queues[class.index()].pop_expired(now) {
                self.remove_queued(ticket);
                let delay = interval(self.estimate_wait(class, 1, now).max(MIN_RETRY_DELAY));
                let refusal = Refusal::retryable(RefusalReason::Overloaded, delay);
                update.dropped.push(Dropped { ticket, refusal });
            }
        }
        for class in Class::ALL {
            self.trim(class, &mut update, now);
        }
        self.advance_exclusive(&mut update, now);
        while let Some(class) = self.next_class(now) {
            let Some(ticket) = self.queues[class.index()].pop() else {
                break;
            };
            self.remove_queued(ticket);
            self.dequeue_intervals[class.index()].record_dequeue(now);
            let permit = self.slots.acquire(class, now);
            update.granted.push(Granted { ticket, permit });
        }
        for (queue, interval) in self.queues.iter().zip(&mut self.dequeue_intervals) {
            if queue.len() == 0 {
                interval.reset();
            }
        }
        update
    }

    /// Drops the newest requests of a queue that drains too slowly for their deadlines.
    fn trim(&mut self, class: Class, update: &mut QueueUpdate, now: Instant) {
        let index = class.index();
        while let Some(expires_at) = self.queues[index].last_expiry() {
            let service_time = self.service_times[index].mean();
            let count = self.queues[index].len();
            let wait = self.dequeue_intervals[index].estimate_wait(count, service_time, now);
            if now + wait <= expires_at {
                return;
            }
            let Some(ticket) = self.queues[index].pop_last() else {
                return;
            };
            self.remove_queued(ticket);
            let refusal = Refusal::retryable(RefusalReason::Overloaded, interval(wait));
            update.dropped.push(Dropped { ticket, refusal });
        }
    }

    /// Runs the oldest exclusive request if it may run now.
    fn advance_exclusive(&mut self, update: &mut QueueUpdate, now: Instant) {
        let busy = self.slots.busy();
        if !self.exclusive.may_run(busy, self.slots.slots(), now) {
            return;
        }
        let Some(ticket) = self.exclusive.pop() else {
            return;
        };
        if let Some(queued) = self.remove_queued(ticket) {
            let permit = self.slots.acquire(queued.class, now);
            self.exclusive.on_start(permit, busy);
            update.granted.push(Granted { ticket, permit });
        }
    }

    /// Returns the class whose oldest waiting request runs next.
    fn next_class(&mut self, now: Instant) -> Option<Class> {
        let can_run =
            |class: &Class| self.queues[class.index()].len() > 0 && self.has_room(*class, now);
        let waiting: Vec<Class> = Class::ALL.into_iter().filter(can_run).collect();
        let first = *waiting.first()?;
        self.turn = (self.turn + 1) % SCHEDULE_CYCLE;
        match waiting[..] {
            [.., last] if self.turn == 0 => Some(last),
            [_, second, _] if SECOND_CLASS_TURNS.contains(&self.turn) => Some(second),
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
