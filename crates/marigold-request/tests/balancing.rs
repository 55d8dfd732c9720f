//! Two ways to balance on the same load. See docs/design/routing.md.

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
const MEAN: Duration = Duration::from_millis(20);
/// One server in so many runs three times slower than the others.
const SLOW_PART: usize = 10;

/// A call in the model.
#[derive(Clone, Copy)]
struct Call {
    ingress: usize,
    begun: Instant,
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

/// What comes next in the model.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    End {
        server: usize,
        ingress: usize,
        begun: Instant,
    },
}

struct Model {
    now: Instant,
    rng: ChaCha8Rng,
    routers: Vec<Router>,
    servers: Vec<Server>,
    events: BinaryHeap<Reverse<(Instant, usize, Event)>>,
    number: usize,
    times: Vec<Duration>,
}

impl Model {
    fn exponential(&mut self, mean: Duration) -> Duration {
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        mean.mul_f64(-uniform.ln())
    }

    fn plan(&mut self, after: Duration, event: Event) {
        self.number += 1;
        self.events
            .push(Reverse((self.now + after, self.number, event)));
    }

    fn run(&mut self, server: usize, call: Call) {
        self.servers[server].running += 1;
        let slow = if server.is_multiple_of(SLOW_PART) {
            3
        } else {
            1
        };
        let time = self.exponential(MEAN * slow);
        self.plan(
            time,
            Event::End {
                server,
                ingress: call.ingress,
                begun: call.begun,
            },
        );
    }

    fn arrive(&mut self, view: &View) {
        let ingress = self.rng.random_range(0..INGRESSES);
        let chosen = self.routers[ingress]
            .pick(view, &service(), &[], self.now)
            .unwrap();
        self.routers[ingress].started(&chosen, self.now);
        let place = |endpoint: &marigold_control::Endpoint| endpoint.instance == chosen.instance;
        let server = view
            .endpoints_of(&service())
            .iter()
            .position(place)
            .unwrap();
        let call = Call {
            ingress,
            begun: self.now,
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
        let elapsed = self.now - call.begun;
        self.times.push(elapsed);
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

/// Returns the times of all calls in order, with `balancer` at each ingress and seven tenths of the
/// capacity asked for.
fn times(balancer: impl Fn() -> Box<dyn Balancer>, seed: u64) -> Vec<Duration> {
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
    let mut model = Model {
        now,
        rng: ChaCha8Rng::seed_from_u64(seed),
        routers: (0..INGRESSES as u64)
            .map(|n| router(seed * 1_000 + n))
            .collect(),
        servers: (0..SERVERS).map(|_| Server::default()).collect(),
        events: BinaryHeap::new(),
        number: 0,
        times: Vec::new(),
    };
    let slow = SERVERS / SLOW_PART;
    // In thirds of a server's speed; ten sevenths of the time that all slots need for one call.
    let capacity = u32::try_from((SERVERS * 3 - slow * 2) * SLOTS).unwrap();
    let gap = MEAN * 3 * 10 / 7 / capacity;
    model.plan(ms(0), Event::Arrive);
    let mut left = CALLS;
    while let Some(Reverse((at, _, event))) = model.events.pop() {
        model.now = at;
        match event {
            Event::Arrive => {
                model.arrive(&view);
                left -= 1;
                if left > 0 {
                    let wait = model.exponential(gap);
                    model.plan(wait, Event::Arrive);
                }
            }
            Event::End {
                server,
                ingress,
                begun,
            } => model.end(&view, server, Call { ingress, begun }),
        }
    }
    model.times.sort_unstable();
    model.times
}

#[test]
fn two_choices_beat_turns_where_servers_differ() {
    for seed in 1..=3 {
        let turns = times(|| Box::new(RoundRobin::default()), seed);
        let choices = times(|| Box::new(TwoChoices), seed);
        let at = |times: &[Duration], part: usize| times[times.len() * part / 1_000];
        for (name, times) in [("round robin", &turns), ("two choices", &choices)] {
            let [p50, p99, p999] = [500, 990, 999].map(|part| at(times, part));
            println!("seed {seed} {name}: p50 {p50:.1?} p99 {p99:.1?} p99.9 {p999:.1?}");
        }
        assert_eq!(turns.len(), CALLS);
        assert_eq!(choices.len(), CALLS);
        assert!(at(&choices, 990) < at(&turns, 990));
    }
}
