//! The slots of one backend server, and who waits for them.
//!
//! Answers the load pattern in which more arrives than the slots can run: a burst, a release that
//! takes servers out, a server that turns slow. A request is refused as soon as the estimate says that
//! it cannot be served, what is worth most for its time goes first, and an answer that will be late is
//! worth less.

use std::collections::BTreeMap;
use std::time::Duration;

use marigold_types::SlotCount;
use slotmap::{SlotMap, new_key_type};
use tokio::time::Instant;

use crate::line::Line;
use crate::work_kind::{DEMAND_MEMORY, WorkKind};
use crate::{CallKind, Rank, RunTime};

/// Before the first run, work is taken to last this part of its objective.
const FIRST_GUESS_PART: u32 = 3;
/// The share of the slots that more urgent demand can take at most in an estimate.
const MAX_DEMAND: f64 = 0.9;
/// Late work waits at most this part of the time that it has left, since much may overtake it.
const LATE_PART: u32 = 2;
/// Requests that wait for each slot at most, in all lines; bounds memory.
const MAX_DEPTH: usize = 16;
/// One grant in so many goes to the least urgent line of those in time, so that it is never starved. A late
/// line has none: what it holds lost most of its value already.
const FAIR_TURN: u32 = 32;
/// The shortest time after which a refused caller is asked to come back.
const MIN_RETRY: Duration = Duration::from_millis(30);
/// The time that work counts for its run when it joins a line, in mean runs: three in four take no longer.
const RUN_MARGIN: f64 = 1.2;
/// The kinds of work that are told apart; more share the first guess.
const MAX_KINDS: usize = 512;

new_key_type! {
    /// Names a request that holds a slot.
    pub struct Permit;
    /// Names a request that waits for a slot.
    pub struct Ticket;
}

/// A request that asks for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotRequest {
    /// What it does.
    pub kind: CallKind,
    /// How urgent it is.
    pub rank: Rank,
    /// When its answer earns full value no more.
    pub objective: Instant,
    /// When nobody waits for it any more.
    pub deadline: Instant,
}

/// What becomes of a request that asks for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It runs now.
    Run(Permit),
    /// It waits.
    Wait(Ticket),
    /// It is refused and has not run; the time after which there is likely room.
    Refuse(Duration),
}

/// A line holds work of one kind, either in time or late.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct LineKey {
    late: bool,
    kind: CallKind,
}

#[derive(Debug, Clone)]
struct Waiting {
    work: SlotRequest,
    key: LineKey,
    /// The run time that its line counts for it.
    counted: Duration,
}

#[derive(Debug, Clone)]
struct Running {
    kind: CallKind,
    since: Instant,
}

/// Gives out the slots of the backend server beside the daemon.
#[derive(Debug)]
pub struct AdmissionController {
    slots: u32,
    running: SlotMap<Permit, Running>,
    waiting: SlotMap<Ticket, Waiting>,
    /// The lines in which work waits; none is empty.
    lines: BTreeMap<LineKey, Line>,
    kinds: BTreeMap<CallKind, WorkKind>,
    any: RunTime,
    turn: u32,
}

impl AdmissionController {
    /// Builds the gate of a backend server with `slots`.
    #[must_use]
    pub fn new(slots: SlotCount) -> Self {
        Self {
            slots: slots.0,
            running: SlotMap::with_key(),
            waiting: SlotMap::with_key(),
            lines: BTreeMap::new(),
            kinds: BTreeMap::new(),
            any: RunTime::default(),
            turn: 0,
        }
    }

    /// Returns the slots, held or free.
    #[must_use]
    pub fn slots(&self) -> SlotCount {
        SlotCount(self.slots)
    }

    /// Takes the number of slots that the backend server has now; held ones stay held.
    pub fn set_slots(&mut self, slots: SlotCount) {
        self.slots = slots.0;
    }

    /// Returns the requests that hold a slot.
    #[must_use]
    pub fn busy(&self) -> usize {
        self.running.len()
    }

    /// Returns the requests that wait.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the average run time of all work.
    #[must_use]
    pub fn mean_run(&self) -> Duration {
        self.any.mean_or(Duration::ZERO)
    }

    /// Decides on a request.
    pub fn admit(&mut self, work: SlotRequest, now: Instant) -> Admission {
        self.note_demand(&work, now);
        let run = self.expected(&work, now);
        if self.has_room() && self.waiting.is_empty() {
            return Admission::Run(self.start(work.kind, now));
        }
        let on_time = LineKey {
            late: false,
            kind: work.kind.clone(),
        };
        if self.slots == 0 || self.waiting.len() >= self.max_waiting() {
            return Admission::Refuse(self.retry_after(&on_time, Duration::ZERO, now));
        }
        let wait = self.wait_in(&on_time, now);
        let left = work.objective.saturating_duration_since(now);
        if wait + run.mul_f64(RUN_MARGIN) <= left {
            return Admission::Wait(self.enter(work, on_time, run));
        }
        let late = LineKey {
            late: true,
            ..on_time.clone()
        };
        let left = work.deadline.saturating_duration_since(now);
        let late_wait = self.wait_in(&late, now);
        if run < left && late_wait <= left.saturating_sub(run) / LATE_PART {
            return Admission::Wait(self.enter(work, late, run));
        }
        let spare = work
            .objective
            .saturating_duration_since(now)
            .saturating_sub(run);
        Admission::Refuse(self.retry_after(&on_time, spare, now))
    }

    /// Takes back the slot of a request that has ended; `ran` says whether its time tells anything of
    /// its kind.
    pub fn release(&mut self, permit: Permit, ran: bool, now: Instant) {
        let Some(running) = self.running.remove(permit) else {
            return;
        };
        if !ran {
            return;
        }
        let time = now.saturating_duration_since(running.since);
        self.any.observe(time);
        if let Some(kind) = self.kinds.get_mut(&running.kind) {
            kind.run.observe(time);
        }
    }

    /// Takes a request out of its line.
    pub fn cancel(&mut self, ticket: Ticket) {
        if let Some(waiting) = self.waiting.remove(ticket) {
            self.leave_line(ticket, &waiting.key, waiting.counted);
        }
    }

    /// Gives the next free slot to the request that should run next, if there are both.
    pub fn grant(&mut self, now: Instant) -> Option<(Ticket, Permit)> {
        if !self.has_room() {
            return None;
        }
        self.turn = (self.turn + 1) % FAIR_TURN;
        loop {
            let ticket = self.next_ticket()?;
            let waiting = self.waiting.get(ticket)?;
            let run = self.expected(&waiting.work, now);
            let is_overdue = !waiting.key.late && now + run > waiting.work.objective;
            if is_overdue && self.has_on_time_after(ticket) {
                self.make_late(ticket);
                continue;
            }
            let kind = waiting.work.kind.clone();
            self.cancel(ticket);
            return Some((ticket, self.start(kind, now)));
        }
    }

    /// Takes out the requests that cannot end by their deadline any more, each with the time after
    /// which there is likely room.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<(Ticket, Duration)> {
        let is_lost = |waiting: &Waiting| {
            let run = self.expected(&waiting.work, now);
            now + run / 2 > waiting.work.deadline
        };
        let lost: Vec<_> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| is_lost(waiting))
            .map(|(ticket, waiting)| (ticket, waiting.key.clone()))
            .collect();
        let mut swept = Vec::with_capacity(lost.len());
        for (ticket, key) in lost {
            self.cancel(ticket);
            swept.push((ticket, self.retry_after(&key, Duration::ZERO, now)));
        }
        swept
    }

    fn has_room(&self) -> bool {
        self.running.len() < usize::try_from(self.slots).unwrap_or(usize::MAX)
    }

    fn max_waiting(&self) -> usize {
        usize::try_from(self.slots).unwrap_or(usize::MAX) * MAX_DEPTH
    }

    fn start(&mut self, kind: CallKind, now: Instant) -> Permit {
        self.running.insert(Running { kind, since: now })
    }

    fn note_demand(&mut self, work: &SlotRequest, now: Instant) {
        if self.kinds.len() >= MAX_KINDS && !self.kinds.contains_key(&work.kind) {
            return;
        }
        let guess = work.objective.saturating_duration_since(now) / FIRST_GUESS_PART;
        let kind = self
            .kinds
            .entry(work.kind.clone())
            .or_insert_with(|| WorkKind::new(work.rank, guess, now));
        kind.rank = work.rank;
        kind.add_demand(now);
    }

    fn enter(&mut self, work: SlotRequest, key: LineKey, counted: Duration) -> Ticket {
        let line = self.lines.entry(key.clone()).or_default();
        let ticket = self.waiting.insert(Waiting { work, key, counted });
        line.push(ticket, counted);
        ticket
    }

    fn leave_line(&mut self, ticket: Ticket, key: &LineKey, counted: Duration) {
        if let Some(line) = self.lines.get_mut(key) {
            line.remove(ticket, counted);
            if line.first().is_none() {
                self.lines.remove(key);
            }
        }
    }

    fn expected(&self, work: &SlotRequest, now: Instant) -> Duration {
        let guess = || work.objective.saturating_duration_since(now) / FIRST_GUESS_PART;
        self.kinds.get(&work.kind).map_or_else(guess, WorkKind::run)
    }

    /// Returns the urgency of a line, as if a run took a second where its kind is not known.
    fn urgency(&self, key: &LineKey) -> f64 {
        let known = self.kinds.get(&key.kind);
        known.map_or(0.0, |kind| kind.urgency(key.late))
    }

    fn next_ticket(&self) -> Option<Ticket> {
        let order = |a: &&LineKey, b: &&LineKey| self.urgency(a).total_cmp(&self.urgency(b));
        let least = self.lines.keys().filter(|key| !key.late).min_by(order);
        let key = match least {
            Some(key) if self.turn == 0 => Some(key),
            _ => self.lines.keys().max_by(order),
        };
        self.lines.get(key?).and_then(Line::first)
    }

    fn has_on_time_after(&self, ticket: Ticket) -> bool {
        self.waiting
            .iter()
            .any(|(other, waiting)| other != ticket && !waiting.key.late)
    }

    fn make_late(&mut self, ticket: Ticket) {
        let Some(waiting) = self.waiting.get_mut(ticket) else {
            return;
        };
        let counted = waiting.counted;
        let from = waiting.key.clone();
        waiting.key.late = true;
        let to = waiting.key.clone();
        self.leave_line(ticket, &from, counted);
        // It came before everything that was late from the start.
        self.lines
            .entry(to)
            .or_default()
            .push_front(ticket, counted);
    }

    /// Estimates the wait of work that joins the line `key` now.
    fn wait_in(&self, key: &LineKey, now: Instant) -> Duration {
        if self.slots == 0 {
            return Duration::MAX;
        }
        let own = self.urgency(key);
        let ahead: Duration = self
            .lines
            .iter()
            .filter(|(other, _)| self.urgency(other) >= own)
            .map(|(_, line)| line.work())
            .sum();
        let overtaking: f64 = self
            .kinds
            .iter()
            .filter(|(kind, known)| (key.late || **kind != key.kind) && known.urgency(false) > own)
            .map(|(_, known)| known.demand_at(now))
            .sum();
        let slots = f64::from(self.slots);
        let open = 1.0 - (overtaking / slots).min(MAX_DEMAND);
        // A slot becomes free once in a mean run, divided by the slots.
        let first = self.mean_run().as_secs_f64();
        Duration::from_secs_f64((ahead.as_secs_f64() + first) / slots / open)
    }

    fn retry_after(&self, key: &LineKey, spare: Duration, now: Instant) -> Duration {
        let wait = self.wait_in(key, now).min(DEMAND_MEMORY);
        wait.saturating_sub(spare).max(MIN_RETRY)
    }
}
