//! Measures useful work under overload in a simulation. See docs/design/admission.md.

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
const MEAN_SERVICE_TIME: Duration = Duration::from_millis(50);
const DURATION: Duration = Duration::from_secs(30);

/// A simulated request.
#[derive(Debug, Clone, Copy)]
struct Request {
    class: Class,
    arrival: Instant,
    deadline: Instant,
    service_time: Duration,
}

/// The results of a simulation.
#[derive(Debug, Default)]
struct Results {
    offered: BTreeMap<Class, u32>,
    /// Requests that were answered before their deadline.
    useful: BTreeMap<Class, u32>,
    useful_time: Duration,
    refused: u32,
    /// Requests that were refused after more than half of the time to their deadline.
    refused_late: u32,
}

impl Results {
    fn end(&mut self, request: &Request, now: Instant) {
        if now <= request.deadline {
            *self.useful.entry(request.class).or_default() += 1;
            self.useful_time += request.service_time;
        }
    }

    fn refuse(&mut self, request: &Request, now: Instant) {
        self.refused += 1;
        self.refused_late +=
            u32::from((now - request.arrival) * 2 > request.deadline - request.arrival);
    }

    /// Returns the percentage of the slots' time that was spent on answers before the deadline.
    fn useful_percent(&self) -> u128 {
        self.useful_time.as_millis() * 100 / (DURATION.as_millis() * u128::from(SLOTS))
    }

    /// Returns the percentage of the requests of `class` that were answered before the deadline.
    fn class_percent(&self, class: Class) -> u32 {
        self.useful.get(&class).copied().unwrap_or_default() * 100 / self.offered[&class]
    }
}

/// Generates `factor` times the load that the slots can serve: 10 % critical and 20 % batch.
fn load(factor: u32, seed: u64) -> Vec<Request> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let start = Instant::now();
    let mean_gap = MEAN_SERVICE_TIME / SLOTS / factor;
    let mut arrival = start;
    let mut requests = Vec::new();
    while arrival < start + DURATION {
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        arrival += mean_gap.mul_f64(-uniform.ln());
        let (class, time_left) = match rng.random_range(0..10) {
            0 => (Class::Critical, ms(200)),
            1 | 2 => (Class::Batch, ms(1_000)),
            _ => (Class::Interactive, ms(300)),
        };
        let service_time = MEAN_SERVICE_TIME.mul_f64(rng.random_range(0.5..1.5));
        requests.push(Request {
            class,
            arrival,
            deadline: arrival + time_left,
            service_time,
        });
    }
    requests
}

/// Simulates a backend server with admission control.
struct AdmissionSimulation {
    admission: AdmissionController,
    running: BinaryHeap<Reverse<(Instant, usize)>>,
    permits: BTreeMap<usize, Permit>,
    waiting: BTreeMap<Ticket, usize>,
    requests: Vec<Request>,
    results: Results,
}

impl AdmissionSimulation {
    fn run(&mut self, index: usize, permit: Permit, now: Instant) {
        self.permits.insert(index, permit);
        self.running
            .push(Reverse((now + self.requests[index].service_time, index)));
    }

    fn apply(&mut self, update: &QueueUpdate, now: Instant) {
        for dropped in &update.dropped {
            let index = self.waiting.remove(&dropped.ticket).unwrap();
            self.results.refuse(&self.requests[index], now);
        }
        for granted in &update.granted {
            let index = self.waiting.remove(&granted.ticket).unwrap();
            self.run(index, granted.permit, now);
        }
    }

    /// Processes all events up to `now`.
    fn advance(&mut self, now: Instant) {
        loop {
            let end = self.running.peek().map(|Reverse((at, _))| *at);
            let expiry = self.admission.next_expiry();
            let next = [end, expiry].into_iter().flatten().min();
            let Some(at) = next.filter(|at| *at <= now) else {
                return;
            };
            let update = if end == Some(at) {
                let Reverse((_, index)) = self.running.pop().unwrap();
                self.results.end(&self.requests[index], at);
                let permit = self.permits.remove(&index).unwrap();
                self.admission.release(permit, at)
            } else {
                self.admission.expire(at)
            };
            self.apply(&update, at);
        }
    }
}

fn simulate_admission(requests: Vec<Request>) -> Results {
    let mut simulation = AdmissionSimulation {
        admission: AdmissionController::new(SlotCount(SLOTS), 2),
        running: BinaryHeap::new(),
        permits: BTreeMap::new(),
        waiting: BTreeMap::new(),
        requests,
        results: Results::default(),
    };
    for index in 0..simulation.requests.len() {
        let request = simulation.requests[index];
        simulation.advance(request.arrival);
        *simulation.results.offered.entry(request.class).or_default() += 1;
        let admission_request = AdmissionRequest {
            class: request.class,
            deadline: request.deadline,
            caller: None,
            exclusive: false,
        };
        match simulation
            .admission
            .offer(&admission_request, request.arrival)
        {
            AdmissionDecision::Run(permit) => simulation.run(index, permit, request.arrival),
            AdmissionDecision::Wait(ticket) => {
                simulation.waiting.insert(ticket, index);
            }
            AdmissionDecision::Refuse(_) => simulation.results.refuse(&request, request.arrival),
        }
    }
    simulation.results
}

/// Simulates the baseline: an unbounded FIFO queue without classes or deadlines.
fn simulate_fifo(requests: &[Request]) -> Results {
    let mut results = Results::default();
    let mut free: BinaryHeap<Reverse<Instant>> =
        (0..SLOTS).map(|_| Reverse(requests[0].arrival)).collect();
    let mut queue: VecDeque<&Request> = requests.iter().collect();
    let end = requests[0].arrival + DURATION;
    while let Some(request) = queue.pop_front() {
        *results.offered.entry(request.class).or_default() += 1;
        let Reverse(slot) = free.pop().unwrap();
        let start = slot.max(request.arrival);
        if start < end {
            results.end(request, start + request.service_time);
        }
        free.push(Reverse(start + request.service_time));
    }
    results
}

/// The target waiting time of the `CoDel` simulation.
const CODEL_TARGET: Duration = Duration::from_millis(20);
/// How long the waiting time must exceed the target before `CoDel` drops requests.
const CODEL_INTERVAL: Duration = Duration::from_millis(100);

/// Simulates the alternative: one queue that drops requests by their waiting time, as `CoDel` does
/// (Nichols, Jacobson, 2012).
fn simulate_codel(requests: &[Request]) -> Results {
    let mut results = Results::default();
    let mut free: BinaryHeap<Reverse<Instant>> =
        (0..SLOTS).map(|_| Reverse(requests[0].arrival)).collect();
    let end = requests[0].arrival + DURATION;
    let mut above_since: Option<Instant> = None;
    let mut dropped = 0_u32;
    let mut next_drop: Option<Instant> = None;
    for request in requests {
        *results.offered.entry(request.class).or_default() += 1;
        let Reverse(slot) = free.pop().unwrap();
        let start = slot.max(request.arrival);
        if start - request.arrival < CODEL_TARGET {
            above_since = None;
            next_drop = None;
        } else {
            let since = *above_since.get_or_insert(start);
            let due = next_drop.unwrap_or(since + CODEL_INTERVAL);
            if start >= due {
                dropped = if next_drop.is_some() { dropped + 1 } else { 1 };
                next_drop = Some(due + CODEL_INTERVAL.div_f64(f64::from(dropped).sqrt()));
                results.refuse(request, start);
                free.push(Reverse(slot));
                continue;
            }
        }
        if start < end {
            results.end(request, start + request.service_time);
        }
        free.push(Reverse(start + request.service_time));
    }
    results
}

macro_rules! overload_tests {
    ($($name:ident: $factor:literal;)*) => {$(
        #[test]
        fn $name() {
            for seed in 1..=3 {
                let requests = load($factor, seed);
                let fifo = simulate_fifo(&requests);
                let codel = simulate_codel(&requests);
                let results = simulate_admission(requests);
                println!(
                    "load {}x, seed {seed}: useful {} % (FIFO {} %, CoDel {} %), answered in time by class {:?} %, {} of {} refused late",
                    $factor,
                    results.useful_percent(),
                    fifo.useful_percent(),
                    codel.useful_percent(),
                    Class::ALL.map(|class| results.class_percent(class)),
                    results.refused_late,
                    results.refused,
                );
                assert!(results.useful_percent() >= 90, "{results:?}");
                assert!(results.class_percent(Class::Critical) >= 99, "{results:?}");
                assert!(results.useful_percent() > codel.useful_percent(), "{codel:?}");
                // Requests are refused at once and not kept waiting until near their deadline.
                assert!(results.refused_late * 100 <= results.refused, "{results:?}");
                // Batch requests are not starved even under overload.
                assert!(results.useful[&Class::Batch] > 0, "{results:?}");
            }
        }
    )*};
}

overload_tests! {
    twice_the_capacity: 2;
    five_times_the_capacity: 5;
}
