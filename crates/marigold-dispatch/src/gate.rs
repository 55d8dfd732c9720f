//! The slots of one backend server, and who waits for them.
//!
//! Answers the load pattern in which more arrives than the slots can run: a burst, a release that
//! takes servers out, a server that turns slow. A request is refused as soon as the estimate says that
//! it cannot be served, the most urgent goes first, and what can no longer meet its objective yields
//! to what still can.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use marigold_types::SlotCount;
use slotmap::{SlotMap, new_key_type};
use tokio::time::Instant;

use crate::line::Line;
use crate::{CallKind, Rank, RunTime};

/// Before the first run, work is taken to last this part of its objective.
const FIRST_GUESS_PART: u32 = 3;
/// How long the demand of a class is remembered, as the time constant of its decay.
const DEMAND_MEMORY: Duration = Duration::from_secs(2);
/// The share of the slots that more urgent demand can take at most in an estimate.
const MAX_DEMAND: f64 = 0.9;
/// Late work waits at most this part of the time that it has left, since it yields to all else.
const LATE_PART: u32 = 2;
/// Requests that wait for each slot at most, in all lines; bounds memory.
const MAX_DEPTH: usize = 16;
/// One grant in so many goes to the least urgent line, so that it is never starved.
const FAIR_TURN: u32 = 16;
/// The shortest time after which a refused caller is asked to come back.
const MIN_RETRY: Duration = Duration::from_millis(30);
/// The number of recent run times of any kind that estimate when a slot is free.
const KINDS_MAX: usize = 512;

new_key_type! {
    /// Names a request that holds a slot.
    pub struct Permit;
    /// Names a request that waits for a slot.
    pub struct Ticket;
}

/// A request that asks for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Work {
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
pub enum Admit {
    /// It runs now.
    Run(Permit),
    /// It waits.
    Wait(Ticket),
    /// It is refused and has not run; the time after which there is likely room.
    Refuse(Duration),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct LineKey {
    late: bool,
    rank: Rank,
}

#[derive(Debug, Clone)]
struct Waiting {
    work: Work,
    key: LineKey,
    /// The run time that its line counts for it.
    counted: Duration,
}

#[derive(Debug, Clone)]
struct Running {
    kind: CallKind,
    since: Instant,
}

/// The work that one class has brought of late, in seconds of run time a second.
#[derive(Debug, Clone, Copy)]
struct Demand {
    rate: f64,
    at: Instant,
}

impl Demand {
    fn add(&mut self, work: Duration, now: Instant) {
        self.rate = self.rate_at(now) + work.as_secs_f64() / DEMAND_MEMORY.as_secs_f64();
        self.at = now;
    }

    fn rate_at(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.rate * (-age / DEMAND_MEMORY.as_secs_f64()).exp()
    }
}

/// Gives out the slots of the backend server beside the daemon.
#[derive(Debug)]
pub struct Gate {
    slots: u32,
    running: SlotMap<Permit, Running>,
    waiting: SlotMap<Ticket, Waiting>,
    lines: BTreeMap<LineKey, Line>,
    kinds: HashMap<CallKind, RunTime>,
    any: RunTime,
    demand: BTreeMap<Rank, Demand>,
    turn: u32,
}

impl Gate {
    /// Builds the gate of a backend server with `slots`.
    #[must_use]
    pub fn new(slots: SlotCount) -> Self {
        Self {
            slots: slots.0,
            running: SlotMap::with_key(),
            waiting: SlotMap::with_key(),
            lines: BTreeMap::new(),
            kinds: HashMap::new(),
            any: RunTime::default(),
            demand: BTreeMap::new(),
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

    /// Estimates how long work of `rank` that came now would wait.
    #[must_use]
    pub fn wait(&self, rank: Rank, now: Instant) -> Duration {
        if self.has_room() && self.waiting.is_empty() {
            return Duration::ZERO;
        }
        self.wait_in(LineKey { late: false, rank }, now)
    }

    /// Decides on a request.
    pub fn offer(&mut self, work: Work, now: Instant) -> Admit {
        let run = self.expected(&work, now);
        let on_time = LineKey {
            late: false,
            rank: work.rank,
        };
        self.demand
            .entry(work.rank)
            .or_insert(Demand { rate: 0.0, at: now })
            .add(run, now);
        if self.has_room() && self.waiting.is_empty() {
            return Admit::Run(self.start(work.kind, now));
        }
        if self.slots == 0 || self.waiting.len() >= self.max_waiting() {
            return Admit::Refuse(self.retry_after(on_time, Duration::ZERO, now));
        }
        let wait = self.wait_in(on_time, now);
        let left = work.objective.saturating_duration_since(now);
        if wait + run <= left {
            return Admit::Wait(self.enter(work, on_time, run));
        }
        let late = LineKey {
            late: true,
            rank: work.rank,
        };
        let left = work.deadline.saturating_duration_since(now);
        let late_wait = self.wait_in(late, now);
        if run < left && late_wait <= (left - run) / LATE_PART {
            return Admit::Wait(self.enter(work, late, run));
        }
        let spare = work
            .objective
            .saturating_duration_since(now)
            .saturating_sub(run);
        Admit::Refuse(self.retry_after(on_time, spare, now))
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
        if self.kinds.len() < KINDS_MAX || self.kinds.contains_key(&running.kind) {
            self.kinds.entry(running.kind).or_default().observe(time);
        }
    }

    /// Takes a request out of its line.
    pub fn cancel(&mut self, ticket: Ticket) {
        if let Some(waiting) = self.waiting.remove(ticket)
            && let Some(line) = self.lines.get_mut(&waiting.key)
        {
            line.remove(ticket, waiting.counted);
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
            let Some(waiting) = self.waiting.get(ticket) else {
                return None;
            };
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
    pub fn sweep(&mut self, now: Instant) -> Vec<(Ticket, Duration)> {
        let lost: Vec<(Ticket, LineKey)> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| {
                let run = self.expected(&waiting.work, now);
                now + run / 2 > waiting.work.deadline
            })
            .map(|(ticket, waiting)| (ticket, waiting.key))
            .collect();
        let mut swept = Vec::with_capacity(lost.len());
        for (ticket, key) in lost {
            self.cancel(ticket);
            swept.push((ticket, self.retry_after(key, Duration::ZERO, now)));
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

    fn enter(&mut self, work: Work, key: LineKey, counted: Duration) -> Ticket {
        let ticket = self.waiting.insert(Waiting { work, key, counted });
        self.lines.entry(key).or_default().push(ticket, counted);
        ticket
    }

    fn expected(&self, work: &Work, now: Instant) -> Duration {
        let guess = work.objective.saturating_duration_since(now) / FIRST_GUESS_PART;
        self.kinds
            .get(&work.kind)
            .map_or(guess, |time| time.mean_or(guess))
    }

    fn next_ticket(&self) -> Option<Ticket> {
        let is_fair = self.turn == 0;
        let mut filled = self.lines.values().filter_map(Line::first);
        if is_fair {
            filled.last()
        } else {
            filled.next()
        }
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
        let from = waiting.key;
        waiting.key.late = true;
        let to = waiting.key;
        if let Some(line) = self.lines.get_mut(&from) {
            line.remove(ticket, counted);
        }
        // It came before everything that was late from the start.
        self.lines
            .entry(to)
            .or_default()
            .push_front(ticket, counted);
    }

    /// Estimates the wait of work that joins the line `key` now.
    fn wait_in(&self, key: LineKey, now: Instant) -> Duration {
        if self.slots == 0 {
            return Duration::MAX;
        }
        let ahead: Duration = self.lines.range(..=key).map(|(_, line)| line.work()).sum();
        let slots = f64::from(self.slots);
        let overtaking: f64 = self
            .demand
            .iter()
            .filter(|(rank, _)| key.late || **rank < key.rank)
            .map(|(_, demand)| demand.rate_at(now))
            .sum();
        let open = 1.0 - (overtaking / slots).min(MAX_DEMAND);
        // A slot becomes free once in a mean run, divided by the slots.
        let first = self.mean_run().as_secs_f64();
        Duration::from_secs_f64((ahead.as_secs_f64() + first) / slots / open)
    }

    fn retry_after(&self, key: LineKey, spare: Duration, now: Instant) -> Duration {
        let wait = self.wait_in(key, now).min(DEMAND_MEMORY);
        wait.saturating_sub(spare).max(MIN_RETRY)
    }
}
