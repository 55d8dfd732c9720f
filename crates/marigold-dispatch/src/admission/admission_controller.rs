//! Admission control and scheduling for the slots of one backend server.
//!
//! Load pattern: more requests arrive than the slots can process, due to a burst, a rollout that removes
//! servers, or a slow server. A request is refused as soon as the estimated wait shows that it cannot be
//! served. Requests with the highest value per second of slot time go first, and a request that will miss
//! its objective has a lower value.

mod displacement;
mod estimates;

use std::collections::BTreeMap;
use std::time::Duration;

use marigold_types::{ServiceName, SlotCount};
use slotmap::SlotMap;
use tokio::time::Instant;

use self::estimates::INITIAL_RUN_DIVISOR;
use crate::admission::kind_stats::KindStats;
use crate::admission::queue_key::QueueKey;
use crate::admission::queue_order::QueueOrder;
use crate::admission::return_schedule::ReturnSchedule;
use crate::admission::running_set::{Permit, RunningSet};
use crate::admission::ticket::Ticket;
use crate::admission::wait_queue::WaitQueue;
use crate::admission::waiting_request::WaitingRequest;
use crate::admission::workspace_shares::WorkspaceShares;
use crate::{
    AdmissionDecision, CallKind, RequestLimit, RequestPacer, RunTime, SiteReport, SlotRequest,
};

/// A late request is queued only if its estimated wait is at most its remaining time divided by this number,
/// since many requests may overtake it.
const LATE_WAIT_DIVISOR: u32 = 2;
/// The maximum number of waiting requests per slot, over all queues; bounds memory.
const MAX_QUEUE_PER_SLOT: usize = 16;
/// One in this number of grants goes to the least urgent queue of requests on time, to prevent starvation. Late
/// queues are excluded, since their requests have already lost most of their value.
const FAIR_GRANT_INTERVAL: u32 = 32;
/// A request waits for at most this many intervals of a request limit, so that the most urgent ones are sent next.
const MAX_PACED_WAIT_INTERVALS: u32 = 2;
/// The run time assumed when a request is queued, as a multiple of the mean: three in four runs take no
/// longer.
const RUN_TIME_MARGIN: f64 = 1.2;
/// The maximum number of kinds that are tracked; further ones use the initial run time.
const MAX_KINDS: usize = 512;

/// A queue that may be served next.
type Candidate<'a> = (QueueOrder, &'a QueueKey, &'a WaitQueue);

/// Assigns the slots of the backend server beside the sidecar to requests, by value per second of slot time.
///
/// The controller of marigoldd, which schedules by priority class, is in marigold-request.
#[derive(Debug)]
pub struct AdmissionController {
    slots: u32,
    running: RunningSet,
    waiting: SlotMap<Ticket, WaitingRequest>,
    /// The queues of waiting requests; empty queues are removed.
    queues: BTreeMap<QueueKey, WaitQueue>,
    kinds: BTreeMap<CallKind, KindStats>,
    shares: WorkspaceShares,
    returns: ReturnSchedule,
    /// The removed requests that [`Self::take_displaced`] has not returned yet.
    displaced: Vec<(Ticket, Duration)>,
    /// The average run time of all kinds.
    run_time: RunTime,
    /// The number of grant attempts modulo `FAIR_GRANT_INTERVAL`.
    grant_count: u32,
    /// Paces the requests if the backend server has named a limit.
    pacer: RequestPacer,
    /// Whether only one request runs at a time, see [`Self::set_one_at_a_time`].
    one_at_a_time: bool,
}

impl AdmissionController {
    /// Builds the controller for a backend server with `slots`.
    #[must_use]
    pub fn new(slots: SlotCount) -> Self {
        Self {
            slots: slots.0,
            running: RunningSet::default(),
            waiting: SlotMap::with_key(),
            queues: BTreeMap::new(),
            kinds: BTreeMap::new(),
            shares: WorkspaceShares::default(),
            returns: ReturnSchedule::default(),
            displaced: Vec::new(),
            run_time: RunTime::default(),
            grant_count: 0,
            pacer: RequestPacer::new(),
            one_at_a_time: false,
        }
    }

    /// Returns the number of slots, free or in use.
    #[must_use]
    pub fn slots(&self) -> SlotCount {
        SlotCount(self.slots)
    }

    /// Changes the number of slots. Running requests keep theirs.
    pub fn set_slots(&mut self, slots: SlotCount) {
        self.slots = slots.0;
    }

    /// Changes the limit of requests per second that the backend server takes.
    pub fn set_request_limit(&mut self, limit: Option<RequestLimit>, now: Instant) {
        self.pacer.set_limit(limit, self.running.len(), now);
    }

    /// Sets whether only one request runs at a time, which lasts for moments and so changes no estimate.
    pub fn set_one_at_a_time(&mut self, one_at_a_time: bool) {
        self.one_at_a_time = one_at_a_time;
    }

    /// Records a request that was sent to the backend server without a slot, such as a health check.
    pub fn record_unslotted(&mut self, now: Instant) {
        self.pacer.record_sent(now);
    }

    /// Returns the limit of requests per second, if there is one.
    #[must_use]
    pub fn request_limit(&self) -> Option<RequestLimit> {
        self.pacer.limit()
    }

    /// Returns what has changed once the limit leaves room for other requests than before: the number of requests sent so
    /// far, and how many may be sent now.
    #[must_use]
    pub fn room(&self, now: Instant) -> (u64, usize) {
        (self.pacer.sent(), self.pacer.available(now))
    }

    /// Returns whether the limit of requests per second allows another one now.
    #[must_use]
    pub fn is_within_limit(&self, now: Instant) -> bool {
        self.pacer.is_open(now)
    }

    /// Returns the load for the report to ingresses.
    ///
    /// Slots for which the request limit leaves no requests count as busy. Once all are, the run time is the one at
    /// which the slots would process requests at the limit, so that ingresses estimate the wait for the next one.
    #[must_use]
    pub fn report(&self, service: Option<ServiceName>, now: Instant) -> SiteReport {
        let count = |len: usize| SlotCount(u32::try_from(len).unwrap_or(u32::MAX));
        let mut report = SiteReport {
            service,
            slots: self.slots(),
            busy: count(self.busy()),
            queued: count(self.queued()),
            mean_run: self.mean_run(),
        };
        if let Some(limit) = self.pacer.limit() {
            let free = count(self.pacer.available(now)).0;
            let taken = SlotCount(self.slots.saturating_sub(free));
            report.busy = report.busy.max(taken);
            if free == 0 {
                report.mean_run = report.mean_run.max(limit.interval() * self.slots);
            }
        }
        report
    }

    /// Returns the number of requests that hold a slot.
    #[must_use]
    pub fn busy(&self) -> usize {
        self.running.holding()
    }

    /// Takes the slots of requests whose response is most likely lost; returns whether there is a new one.
    pub fn mark_overdue(&mut self, now: Instant) -> bool {
        let kinds = &self.kinds;
        let overdue_after =
            |kind: &CallKind, lost: f64| kinds.get(kind)?.run_time.overdue_after(lost);
        self.running.mark_overdue(self.slots, overdue_after, now)
    }

    /// Returns whether the response to a request is most likely lost.
    #[must_use]
    pub fn is_overdue(&self, permit: Permit) -> bool {
        self.running.is_overdue(permit)
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the average run time of all requests, or zero before the first run.
    #[must_use]
    pub fn mean_run(&self) -> Duration {
        self.run_time.mean_or(Duration::ZERO)
    }

    /// Runs, queues or refuses a request. Others may be refused instead, see [`Self::take_displaced`].
    pub fn admit(&mut self, request: SlotRequest, now: Instant) -> AdmissionDecision {
        self.record_demand(&request, now);
        let run = self.expected_run(&request, now);
        if self.may_start(now) && self.waiting.is_empty() {
            return AdmissionDecision::Run(self.start(request, run, now, now));
        }
        self.shares.update();
        let on_time_key = QueueKey::of(&request, false);
        let is_full = self.waiting.len() >= self.max_waiting();
        if self.slots == 0 || is_full && !self.displace_last(&self.order(&on_time_key), now) {
            return AdmissionDecision::Refuse(self.retry_after(&on_time_key, Duration::ZERO, now));
        }
        let wait = self.estimated_wait(&on_time_key, now);
        // Other backend servers may be free at once.
        let max_wait = (self.pacer.limit()).map_or(Duration::MAX, |limit| {
            limit.interval() * MAX_PACED_WAIT_INTERVALS
        });
        if wait > max_wait {
            return AdmissionDecision::Refuse(self.retry_after(&on_time_key, max_wait, now));
        }
        let left = request.objective.saturating_duration_since(now);
        if wait + run.mul_f64(RUN_TIME_MARGIN) <= left {
            return AdmissionDecision::Wait(self.enqueue(request, on_time_key, run, now));
        }
        let late_key = QueueKey::of(&request, true);
        let left = request.deadline.saturating_duration_since(now);
        let late_wait = self.estimated_wait(&late_key, now);
        if run < left
            && late_wait <= max_wait
            && late_wait <= left.saturating_sub(run) / LATE_WAIT_DIVISOR
        {
            return AdmissionDecision::Wait(self.enqueue(request, late_key, run, now));
        }
        // Its objective will be over when it comes back, so it will wait for what requests on time leave.
        let spare = (left.saturating_sub(run) / LATE_WAIT_DIVISOR).min(max_wait);
        AdmissionDecision::Refuse(self.retry_after(&late_key, spare, now))
    }

    /// Frees the slot of a request that has ended. If `ran` is true, its run time is added to the averages.
    pub fn release(&mut self, permit: Permit, ran: bool, now: Instant) {
        let Some(ended) = self.running.end(permit, ran, now) else {
            return;
        };
        if !ran {
            return;
        }
        self.run_time.observe(ended.time);
        if let Some(kind) = self.kinds.get_mut(&ended.kind) {
            kind.run_time.observe(ended.time);
        }
    }

    /// Removes a waiting request.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.take(ticket);
    }

    fn take(&mut self, ticket: Ticket) -> Option<WaitingRequest> {
        let waiting = self.waiting.remove(ticket)?;
        self.remove_from_queue(ticket, &waiting.key, waiting.expected_run);
        Some(waiting)
    }

    /// Assigns a free slot to the next waiting request, or returns `None` if either is missing.
    pub fn grant(&mut self, now: Instant) -> Option<(Ticket, Permit)> {
        if !self.may_start(now) {
            return None;
        }
        if !self.waiting.is_empty() {
            self.shares.update();
        }
        self.grant_count = (self.grant_count + 1) % FAIR_GRANT_INTERVAL;
        loop {
            let ticket = self.next_ticket()?;
            let waiting = self.waiting.get(ticket)?;
            let run = self.expected_run(&waiting.request, now);
            let is_overdue = !waiting.key.late && now + run > waiting.request.objective;
            if is_overdue && self.has_other_on_time(ticket) {
                self.move_to_late_queue(ticket);
                continue;
            }
            let waiting = self.take(ticket)?;
            let permit = self.start(
                waiting.request,
                waiting.expected_run,
                waiting.arrived_at,
                now,
            );
            return Some((ticket, permit));
        }
    }

    /// Removes the waiting requests that can no longer complete by their deadline, and returns the retry delay of
    /// each.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<(Ticket, Duration)> {
        self.shares.update();
        let is_expired = |waiting: &WaitingRequest, start: Instant| {
            let run = self.expected_run(&waiting.request, now);
            start + run / 2 > waiting.request.deadline
        };
        let expired: Vec<_> = self
            .earliest_starts(now)
            .into_iter()
            .filter_map(|(ticket, start)| Some((ticket, start, self.waiting.get(ticket)?)))
            .filter(|(_, start, waiting)| is_expired(waiting, *start))
            .map(|(ticket, _, waiting)| (ticket, waiting.key.clone()))
            .collect();
        let mut removed = Vec::with_capacity(expired.len());
        for (ticket, key) in expired {
            self.cancel(ticket);
            removed.push((ticket, self.retry_after(&key, Duration::ZERO, now)));
        }
        self.displace_overtaken(now);
        removed.append(&mut self.displaced);
        removed
    }

    /// Returns whether a slot is free and the backend server takes another request now.
    fn may_start(&self, now: Instant) -> bool {
        let slots = if self.one_at_a_time {
            self.slots.min(1)
        } else {
            self.slots
        };
        let has_free_slot = self.running.holding() < usize::try_from(slots).unwrap_or(usize::MAX);
        has_free_slot && self.pacer.is_open(now)
    }

    fn max_waiting(&self) -> usize {
        usize::try_from(self.slots).unwrap_or(usize::MAX) * MAX_QUEUE_PER_SLOT
    }

    /// Starts a request whose demand for `asked` was recorded at `asked_at`.
    fn start(
        &mut self,
        request: SlotRequest,
        asked: Duration,
        asked_at: Instant,
        now: Instant,
    ) -> Permit {
        self.pacer.record_sent(now);
        if let Some(name) = &request.workspace {
            self.shares.record_used(name, asked, asked_at);
        }
        let expected = self.kinds.get(&request.kind).map(KindStats::run);
        self.running
            .start(request.kind, expected.unwrap_or_default(), now)
    }

    fn record_demand(&mut self, request: &SlotRequest, now: Instant) {
        if self.kinds.len() >= MAX_KINDS && !self.kinds.contains_key(&request.kind) {
            return;
        }
        let initial_run = request.objective.saturating_duration_since(now) / INITIAL_RUN_DIVISOR;
        let kind = self
            .kinds
            .entry(request.kind.clone())
            .or_insert_with(|| KindStats::new(request.rank, initial_run));
        kind.rank = request.rank;
        kind.add_demand(request.precedence, now);
        let run = kind.run();
        if let Some(name) = &request.workspace {
            self.shares.record_asked(name, request.precedence, run, now);
        }
    }

    fn enqueue(
        &mut self,
        request: SlotRequest,
        key: QueueKey,
        expected_run: Duration,
        now: Instant,
    ) -> Ticket {
        let queue = self.queues.entry(key.clone()).or_default();
        let ticket = self.waiting.insert(WaitingRequest {
            request,
            key,
            expected_run,
            arrived_at: now,
        });
        queue.push(ticket, expected_run);
        ticket
    }

    fn remove_from_queue(&mut self, ticket: Ticket, key: &QueueKey, expected_run: Duration) {
        if let Some(queue) = self.queues.get_mut(key) {
            queue.remove(ticket, expected_run);
            if queue.first().is_none() {
                self.queues.remove(key);
            }
        }
    }

    fn next_ticket(&self) -> Option<Ticket> {
        let queues = || {
            let queues = self.queues.iter();
            queues.map(|(key, queue)| (self.order(key), key, queue))
        };
        // Workspaces whose requests have equal urgency take turns by arrival.
        let turn = |(a, key, queue): &Candidate<'_>, (b, other, others): &Candidate<'_>| {
            let kind = || (key.late, &key.kind).cmp(&(other.late, &other.kind));
            let arrival = || self.first_arrival(others).cmp(&self.first_arrival(queue));
            a.cmp(b).then_with(kind).then_with(arrival)
        };
        let is_fair = |(order, key, _): &Candidate<'_>| !key.late && !order.is_beyond;
        let next = match queues().filter(is_fair).min_by(turn) {
            Some(least) if self.grant_count == 0 => Some(least),
            _ => queues().max_by(turn),
        };
        next.and_then(|(_, _, queue)| queue.first())
    }

    fn first_arrival(&self, queue: &WaitQueue) -> Option<Instant> {
        let first = queue.first().and_then(|ticket| self.waiting.get(ticket));
        first.map(|waiting| waiting.arrived_at)
    }

    fn has_other_on_time(&self, ticket: Ticket) -> bool {
        self.waiting
            .iter()
            .any(|(other, waiting)| other != ticket && !waiting.key.late)
    }

    fn move_to_late_queue(&mut self, ticket: Ticket) {
        let Some(waiting) = self.waiting.get_mut(ticket) else {
            return;
        };
        let expected_run = waiting.expected_run;
        let from = waiting.key.clone();
        waiting.key.late = true;
        let to = waiting.key.clone();
        self.remove_from_queue(ticket, &from, expected_run);
        // It arrived before all requests that were queued as late.
        self.queues
            .entry(to)
            .or_default()
            .push_front(ticket, expected_run);
    }
}
