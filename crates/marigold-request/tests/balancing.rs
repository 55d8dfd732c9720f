//! Compares load balancing algorithms on the same load in a simulation. See docs/design/routing.md.

mod common;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use common::{config, endpoint, ms, service, view};
use marigold_control::View;
use marigold_request::LoadReport;
use marigold_request::balance::{Balancer, RoundRobin, TwoChoices};
use marigold_request::router::{CallReport, Router};
use marigold_types::{Outcome, SlotCount};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

const SERVERS: usize = 20;
const INGRESSES: usize = 30;
const SLOTS: usize = 4;
const CALLS: usize = 30_000;
const MEAN_SERVICE_TIME: Duration = Duration::from_millis(20);
/// One in this many servers is three times slower than the others.
const SLOW_SERVER_INTERVAL: usize = 10;

/// A simulated call.
#[derive(Clone, Copy)]
struct Call {
    ingress: usize,
    started_at: Instant,
}

#[derive(Default)]
struct Server {
    running: usize,
    waiting: VecDeque<Call>,
}

impl Server {
    fn load(&self) -> LoadReport {
        let count = |number: usize| SlotCount(u32::try_from(number).unwrap());
        LoadReport {
            busy: count(self.running),
            queued: count(self.waiting.len()),
            slots: count(SLOTS),
        }
    }
}

/// A simulation event.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    End {
        server: usize,
        ingress: usize,
        started_at: Instant,
    },
}

struct Simulation {
    now: Instant,
    rng: ChaCha8Rng,
    routers: Vec<Router>,
    servers: Vec<Server>,
    events: BinaryHeap<Reverse<(Instant, usize, Event)>>,
    /// Orders events at the same instant.
    next_sequence: usize,
    response_times: Vec<Duration>,
}

impl Simulation {
    fn exponential(&mut self, mean: Duration) -> Duration {
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        mean.mul_f64(-uniform.ln())
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.next_sequence += 1;
        self.events
            .push(Reverse((self.now + after, self.next_sequence, event)));
    }

    fn run(&mut self, server: usize, call: Call) {
        self.servers[server].running += 1;
        let slowdown = if server.is_multiple_of(SLOW_SERVER_INTERVAL) {
            3
        } else {
            1
        };
        let time = self.exponential(MEAN_SERVICE_TIME * slowdown);
        self.schedule(
            time,
            Event::End {
                server,
                ingress: call.ingress,
                started_at: call.started_at,
            },
        );
    }

    fn arrive(&mut self, view: &View) {
        let ingress = self.rng.random_range(0..INGRESSES);
        let chosen = self.routers[ingress]
            .pick(view, &service(), &[], self.now)
            .unwrap();
        self.routers[ingress].started(&chosen, self.now);
        let is_chosen =
            |endpoint: &marigold_control::Endpoint| endpoint.instance == chosen.instance;
        let server = view
            .endpoints_of(&service())
            .iter()
            .position(is_chosen)
            .unwrap();
        let call = Call {
            ingress,
            started_at: self.now,
        };
        if self.servers[server].running < SLOTS {
            self.run(server, call);
        } else {
            self.servers[server].waiting.push_back(call);
        }
    }

    fn end(&mut self, view: &View, server: usize, call: Call) {
        self.servers[server].running -= 1;
        if let Some(next) = self.servers[server].waiting.pop_front() {
            self.run(server, next);
        }
        let elapsed = self.now - call.started_at;
        self.response_times.push(elapsed);
        let report = CallReport {
            outcome: Outcome::Answered,
            status: Some(200),
            refusal: None,
            load: Some(self.servers[server].load()),
            elapsed,
        };
        let address = view.endpoints_of(&service())[server].instance.address;
        self.routers[call.ingress].finished(address, &report, self.now);
    }
}

/// Returns the sorted response times of all calls, with `balancer` at each ingress and a load of 70 %
/// of the capacity.
fn simulate(balancer: impl Fn() -> Box<dyn Balancer>, seed: u64) -> Vec<Duration> {
    let now = Instant::now() + Duration::from_hours(1);
    let since = now - Duration::from_mins(10);
    let hosts = 1..=u16::try_from(SERVERS).unwrap();
    let view = view(
        hosts.map(|host| endpoint(host, "depot", since)).collect(),
        config(vec![]),
    );
    let router = |seed| {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Router::new(
            "depot".parse().unwrap(),
            "dyfed".parse().unwrap(),
            balancer(),
            rng,
        )
    };
    let mut simulation = Simulation {
        now,
        rng: ChaCha8Rng::seed_from_u64(seed),
        routers: (0..INGRESSES as u64)
            .map(|n| router(seed * 1_000 + n))
            .collect(),
        servers: (0..SERVERS).map(|_| Server::default()).collect(),
        events: BinaryHeap::new(),
        next_sequence: 0,
        response_times: Vec::new(),
    };
    let slow_servers = SERVERS / SLOW_SERVER_INTERVAL;
    // The capacity is in thirds of the speed of a normal server. A load of 70 % makes the mean gap
    // 10 / 7 of the time in which all slots together serve one call.
    let capacity = u32::try_from((SERVERS * 3 - slow_servers * 2) * SLOTS).unwrap();
    let mean_gap = MEAN_SERVICE_TIME * 3 * 10 / 7 / capacity;
    simulation.schedule(ms(0), Event::Arrive);
    let mut calls_left = CALLS;
    while let Some(Reverse((at, _, event))) = simulation.events.pop() {
        simulation.now = at;
        match event {
            Event::Arrive => {
                simulation.arrive(&view);
                calls_left -= 1;
                if calls_left > 0 {
                    let wait = simulation.exponential(mean_gap);
                    simulation.schedule(wait, Event::Arrive);
                }
            }
            Event::End {
                server,
                ingress,
                started_at,
            } => simulation.end(
                &view,
                server,
                Call {
                    ingress,
                    started_at,
                },
            ),
        }
    }
    simulation.response_times.sort_unstable();
    simulation.response_times
}

#[test]
fn two_choices_outperform_round_robin_with_unequal_servers() {
    for seed in 1..=3 {
        let round_robin = simulate(|| Box::new(RoundRobin::default()), seed);
        let two_choices = simulate(|| Box::new(TwoChoices), seed);
        let quantile =
            |times: &[Duration], per_mille: usize| times[times.len() * per_mille / 1_000];
        for (name, times) in [("round robin", &round_robin), ("two choices", &two_choices)] {
            let [p50, p99, p999] = [500, 990, 999].map(|per_mille| quantile(times, per_mille));
            println!("seed {seed} {name}: p50 {p50:.1?} p99 {p99:.1?} p99.9 {p999:.1?}");
        }
        assert_eq!(round_robin.len(), CALLS);
        assert_eq!(two_choices.len(), CALLS);
        assert!(quantile(&two_choices, 990) < quantile(&round_robin, 990));
    }
}
