//! Useful work under overload, on explicit instants. See docs/design/admission.md.

mod common;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Duration;

use common::ms;
use marigold_request::admission::{
    AdmissionController, AdmissionDecision, AdmissionRequest, Permit, QueueUpdate, Ticket,
};
use marigold_types::{Class, SlotCount};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

const SLOTS: u32 = 8;
const SERVICE: Duration = Duration::from_millis(50);
const LENGTH: Duration = Duration::from_secs(30);

/// One request of the load.
#[derive(Debug, Clone, Copy)]
struct Request {
    class: Class,
    at: Instant,
    deadline: Instant,
    time: Duration,
}

/// What became of the load.
#[derive(Debug, Default)]
struct Tally {
    offered: BTreeMap<Class, u32>,
    useful: BTreeMap<Class, u32>,
    useful_time: Duration,
    refused: u32,
    /// Requests that were refused after more than half of their time.
    held: u32,
}

impl Tally {
    fn end(&mut self, request: &Request, now: Instant) {
        if now <= request.deadline {
            *self.useful.entry(request.class).or_default() += 1;
            self.useful_time += request.time;
        }
    }

    fn refuse(&mut self, request: &Request, now: Instant) {
        self.refused += 1;
        self.held += u32::from((now - request.at) * 2 > request.deadline - request.at);
    }

    /// Returns the part of the slots' time that went into answers in time, in a hundred.
    fn useful_part(&self) -> u128 {
        self.useful_time.as_millis() * 100 / (LENGTH.as_millis() * u128::from(SLOTS))
    }

    fn class_part(&self, class: Class) -> u32 {
        self.useful.get(&class).copied().unwrap_or_default() * 100 / self.offered[&class]
    }
}

/// Makes `times` the load that the slots can take: one in ten critical, two in ten batch.
fn load(times: u32, seed: u64) -> Vec<Request> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let start = Instant::now();
    let gap = SERVICE / SLOTS / times;
    let mut at = start;
    let mut requests = Vec::new();
    while at < start + LENGTH {
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        at += gap.mul_f64(-uniform.ln());
        let (class, left) = match rng.random_range(0..10) {
            0 => (Class::Critical, ms(200)),
            1 | 2 => (Class::Batch, ms(1_000)),
            _ => (Class::Interactive, ms(300)),
        };
        let time = SERVICE.mul_f64(rng.random_range(0.5..1.5));
        requests.push(Request {
            class,
            at,
            deadline: at + left,
            time,
        });
    }
    requests
}

/// Runs the load through the gate.
struct Gated {
    gate: AdmissionController,
    running: BinaryHeap<Reverse<(Instant, usize)>>,
    permits: BTreeMap<usize, Permit>,
    waiting: BTreeMap<Ticket, usize>,
    requests: Vec<Request>,
    tally: Tally,
}

impl Gated {
    fn run(&mut self, index: usize, permit: Permit, now: Instant) {
        self.permits.insert(index, permit);
        self.running
            .push(Reverse((now + self.requests[index].time, index)));
    }

    fn take(&mut self, moves: &QueueUpdate, now: Instant) {
        for dropped in &moves.dropped {
            let index = self.waiting.remove(&dropped.ticket).unwrap();
            self.tally.refuse(&self.requests[index], now);
        }
        for granted in &moves.granted {
            let index = self.waiting.remove(&granted.ticket).unwrap();
            self.run(index, granted.permit, now);
        }
    }

    /// Lets everything happen that is due before `now`.
    fn advance(&mut self, now: Instant) {
        loop {
            let end = self.running.peek().map(|Reverse((at, _))| *at);
            let expiry = self.gate.next_expiry();
            let next = [end, expiry].into_iter().flatten().min();
            let Some(at) = next.filter(|at| *at <= now) else {
                return;
            };
            let moves = if end == Some(at) {
                let Reverse((_, index)) = self.running.pop().unwrap();
                self.tally.end(&self.requests[index], at);
                let permit = self.permits.remove(&index).unwrap();
                self.gate.release(permit, at)
            } else {
                self.gate.expire(at)
            };
            self.take(&moves, at);
        }
    }
}

fn gated(requests: Vec<Request>) -> Tally {
    let mut model = Gated {
        gate: AdmissionController::new(SlotCount(SLOTS), 2),
        running: BinaryHeap::new(),
        permits: BTreeMap::new(),
        waiting: BTreeMap::new(),
        requests,
        tally: Tally::default(),
    };
    for index in 0..model.requests.len() {
        let request = model.requests[index];
        model.advance(request.at);
        *model.tally.offered.entry(request.class).or_default() += 1;
        let ask = AdmissionRequest {
            class: request.class,
            deadline: request.deadline,
            caller: None,
            exclusive: false,
        };
        match model.gate.offer(&ask, request.at) {
            AdmissionDecision::Run(permit) => model.run(index, permit, request.at),
            AdmissionDecision::Wait(ticket) => {
                model.waiting.insert(ticket, index);
            }
            AdmissionDecision::Refuse(_) => model.tally.refuse(&request, request.at),
        }
    }
    model.tally
}

/// The baseline: one line in the order of arrival, without bound, classes or deadlines.
fn one_line(requests: &[Request]) -> Tally {
    let mut tally = Tally::default();
    let mut free: BinaryHeap<Reverse<Instant>> =
        (0..SLOTS).map(|_| Reverse(requests[0].at)).collect();
    let mut line: VecDeque<&Request> = requests.iter().collect();
    let end = requests[0].at + LENGTH;
    while let Some(request) = line.pop_front() {
        *tally.offered.entry(request.class).or_default() += 1;
        let Reverse(slot) = free.pop().unwrap();
        let begun = slot.max(request.at);
        if begun < end {
            tally.end(request, begun + request.time);
        }
        free.push(Reverse(begun + request.time));
    }
    tally
}

/// How long requests may wait before the way below begins to drop.
const TARGET: Duration = Duration::from_millis(20);
/// How long they must have waited that long.
const INTERVAL: Duration = Duration::from_millis(100);

/// The alternative: one line that drops by how long its requests have waited, as `CoDel` does
/// (Nichols, Jacobson, 2012).
fn by_waiting_time(requests: &[Request]) -> Tally {
    let mut tally = Tally::default();
    let mut free: BinaryHeap<Reverse<Instant>> =
        (0..SLOTS).map(|_| Reverse(requests[0].at)).collect();
    let end = requests[0].at + LENGTH;
    let mut above: Option<Instant> = None;
    let mut dropped = 0_u32;
    let mut next_drop: Option<Instant> = None;
    for request in requests {
        *tally.offered.entry(request.class).or_default() += 1;
        let Reverse(slot) = free.pop().unwrap();
        let begun = slot.max(request.at);
        if begun - request.at < TARGET {
            above = None;
            next_drop = None;
        } else {
            let since = *above.get_or_insert(begun);
            let due = next_drop.unwrap_or(since + INTERVAL);
            if begun >= due {
                dropped = if next_drop.is_some() { dropped + 1 } else { 1 };
                next_drop = Some(due + INTERVAL.div_f64(f64::from(dropped).sqrt()));
                tally.refuse(request, begun);
                free.push(Reverse(slot));
                continue;
            }
        }
        if begun < end {
            tally.end(request, begun + request.time);
        }
        free.push(Reverse(begun + request.time));
    }
    tally
}

macro_rules! overloads {
    ($($name:ident: $times:literal;)*) => {$(
        #[test]
        fn $name() {
            for seed in 1..=3 {
                let requests = load($times, seed);
                let baseline = one_line(&requests);
                let dropping = by_waiting_time(&requests);
                let tally = gated(requests);
                println!(
                    "{} times, seed {seed}: useful {} % (one line {} %, by waiting time {} %), in time by class {:?}, {} of {} refused late",
                    $times,
                    tally.useful_part(),
                    baseline.useful_part(),
                    dropping.useful_part(),
                    Class::ALL.map(|class| tally.class_part(class)),
                    tally.held,
                    tally.refused,
                );
                assert!(tally.useful_part() >= 90, "{tally:?}");
                assert!(tally.class_part(Class::Critical) >= 99, "{tally:?}");
                assert!(tally.useful_part() > dropping.useful_part(), "{dropping:?}");
                // What is given up is told so at once and not held until near its deadline.
                assert!(tally.held * 100 <= tally.refused, "{tally:?}");
                // Even then the last class is not starved.
                assert!(tally.useful[&Class::Batch] > 0, "{tally:?}");
            }
        }
    )*};
}

overloads! {
    twice_the_capacity: 2;
    five_times_the_capacity: 5;
}
