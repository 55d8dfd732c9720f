//! A day, played from event to event.

mod routing;
mod serving;

use std::net::SocketAddr;
use std::time::Duration;

use marigold_dispatch::{Conclusion, Directory, LinkRate, Progress, Site};
use marigold_types::SlotCount;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use super::client::{Attempt, Request};
use super::executor::Executor;
use super::ingress::{Ingress, data_centre};
use super::options::{Change, Day};
use super::play::{Agenda, End, Event};
use super::tally::Tally;

/// The way between daemons of one data centre, and of two.
const NEAR: Duration = Duration::from_micros(300);
const FAR: Duration = Duration::from_micros(1_400);
/// How often lines are looked through.
const SWEEP: Duration = Duration::from_millis(20);
/// Executors that one request asks.
const MAX_ASKED: usize = 4;
/// When to come back if nobody says.
const AWAY_RETRY: Duration = Duration::from_millis(200);
const REJECTED_RETRY: Duration = Duration::from_millis(20);
/// The share of what is left that a caller waits before it comes back, at most.
const RETURN_PART: u32 = 3;
/// Attempts of one request that reach a backend server.
const MAX_ATTEMPTS: u32 = 3;
/// The part of a usual run that must be left for a repeat.
const MIN_LEFT_PART: f64 = 0.6;
/// The repeats that are allowed beyond the ratio, for all ingresses together.
pub const RETRY_SLACK: f64 = 60.0;
/// The bytes of a request's or answer's body.
const BODY: usize = 2_500;

/// A day that was played.
#[derive(Debug, Clone, Default)]
pub struct Played {
    /// What became of the requests of each class.
    pub tallies: Vec<Tally>,
    /// Requests of callers and of runs, each time that they came.
    pub requests: u32,
    /// Arrivals at backend servers beyond the first of their request.
    pub repeats: u32,
}

/// A day in play.
pub struct World {
    day: Day,
    base: Instant,
    now: Instant,
    agenda: Agenda,
    directory: Directory,
    executors: Vec<Executor>,
    ingresses: Vec<Ingress>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    loads: Vec<f64>,
    played: Played,
    rng: ChaCha8Rng,
}

impl World {
    /// Plays a whole day.
    pub fn play(day: &Day, seed: u64) -> Played {
        let mut world = Self::new(day.clone(), seed);
        world.run();
        world.played
    }

    fn new(day: Day, seed: u64) -> Self {
        let base = Instant::now();
        let slack = RETRY_SLACK / f64::from(u32::try_from(day.servers.len()).expect("few"));
        let mut world = Self {
            base,
            now: base,
            agenda: Agenda::default(),
            directory: Directory::default(),
            executors: day.servers.iter().map(Executor::new).collect(),
            ingresses: Vec::new(),
            requests: Vec::new(),
            attempts: Vec::new(),
            loads: vec![1.0; day.places],
            played: Played {
                tallies: vec![Tally::default(); day.classes.len()],
                ..Played::default()
            },
            rng: ChaCha8Rng::seed_from_u64(seed),
            day,
        };
        for (number, server) in world.day.servers.iter().enumerate() {
            world.directory.put(Site {
                address: address(number),
                data_centre: data_centre(server.place),
                service: server.service.parse().expect("a service"),
                slots: SlotCount(server.slots),
                link: LinkRate(100),
            });
            let ingress = Ingress::new(server.place, world.day.byte_cost, slack);
            world.ingresses.push(ingress);
        }
        for ingress in &mut world.ingresses {
            for (number, executor) in world.executors.iter().enumerate() {
                let track = ingress.placement.executor_mut(address(number), base);
                track.apply_report(executor.report(), base);
            }
        }
        for (at, change) in world.day.changes.clone() {
            world.agenda.add(base + at, Event::Change(change));
        }
        for class in 0..world.day.classes.len() {
            for place in 0..world.day.places {
                if world.day.classes[class].rate > 0.0 {
                    world.next_arrival(class, place);
                }
            }
        }
        world.agenda.add(base, Event::Sweep);
        world
    }

    fn run(&mut self) {
        while let Some((at, event)) = self.agenda.next() {
            self.now = at;
            match event {
                Event::Arrival { class, place } => self.arrival(class, place),
                Event::Request(request) => self.request(request),
                Event::Attempt(attempt) => self.attempt(attempt),
                Event::RunEnd { attempt, ok } => self.run_end(attempt, ok),
                Event::Reply { attempt, end } => self.reply(attempt, end),
                Event::Sweep => self.sweep(),
                Event::Change(change) => self.change(&change),
            }
        }
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.agenda.add(self.now + delay, event);
    }

    /// Draws the time of something that takes `mean` on average and spreads fully.
    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.random::<f64>()).ln()
    }

    /// Draws a run, which spreads by half of its mean.
    fn draw_run(&mut self, mean: Duration) -> Duration {
        let phase = mean.as_secs_f64() / 4.0;
        let sum: f64 = (0..4).map(|_| self.exponential(phase)).sum();
        Duration::from_secs_f64(sum)
    }

    fn next_arrival(&mut self, class: usize, place: usize) {
        #[expect(clippy::cast_precision_loss, reason = "a handful")]
        let places = self.day.places as f64;
        let rate = self.day.classes[class].rate * self.loads[place] / places;
        let gap = Duration::from_secs_f64(self.exponential(1.0 / rate));
        if self.now + gap < self.base + self.day.length {
            self.after(gap, Event::Arrival { class, place });
        }
    }

    fn arrival(&mut self, class: usize, place: usize) {
        self.next_arrival(class, place);
        let beside: Vec<_> = (0..self.ingresses.len())
            .filter(|number| self.ingresses[*number].place == place)
            .collect();
        let ingress = beside[self.rng.random_range(0..beside.len())];
        self.played.tallies[class].asked += 1;
        let returns = self.day.callers.returns;
        let patience = self.day.classes[class].patience;
        let deadline = self.now + patience;
        self.start(class, ingress, deadline, returns, None);
    }

    fn start(
        &mut self,
        class: usize,
        ingress: usize,
        deadline: Instant,
        returns: u32,
        parent: Option<usize>,
    ) {
        let request = self.requests.len();
        self.requests.push(Request {
            class,
            ingress,
            first: self.now,
            deadline,
            returns,
            refusals: 0,
            parent,
            tried: Vec::new(),
            progress: Progress::default(),
            objective: Duration::ZERO,
            came: self.now,
        });
        self.request(request);
    }

    /// A request comes, for the first time or again.
    fn request(&mut self, number: usize) {
        let request = &mut self.requests[number];
        let class = &self.day.classes[request.class];
        let ingress = &mut self.ingresses[request.ingress];
        let patience = request.deadline.saturating_duration_since(self.now);
        let spent = ingress.patience.already_waited(&class.kind, patience);
        request.objective = class.objective.saturating_sub(spent);
        request.came = self.now;
        request.tried.clear();
        request.progress = Progress::default();
        ingress.window(&class.service).record_request(self.now);
        self.played.requests += 1;
        self.walk(number);
    }

    fn conclude(&mut self, number: usize, conclusion: Conclusion) {
        match conclusion {
            Conclusion::Unknown => self.failed(number),
            Conclusion::NotRun(soonest) => {
                let spread = 1.0 + 0.5 * self.rng.random::<f64>();
                self.refused(number, soonest.unwrap_or(AWAY_RETRY).mul_f64(spread));
            }
        }
    }

    fn refused(&mut self, number: usize, retry_after: Duration) {
        let is_pressing = self.rng.random::<f64>() < self.day.callers.pressing;
        let request = &mut self.requests[number];
        request.refusals += 1;
        if let Some(parent) = request.parent {
            return self.call_ended(parent, false);
        }
        let left = request.deadline.saturating_duration_since(self.now);
        let wait = if is_pressing {
            Duration::from_millis(2)
        } else {
            retry_after.min(left / RETURN_PART)
        };
        if request.returns > 0 && left > Duration::from_millis(10) {
            request.returns -= 1;
            return self.after(wait, Event::Request(number));
        }
        let is_again = request.refusals > 1;
        let tally = &mut self.played.tallies[request.class];
        tally.refused += 1;
        tally.again += u32::from(is_again);
    }

    fn failed(&mut self, number: usize) {
        let request = &self.requests[number];
        match request.parent {
            Some(parent) => self.call_ended(parent, false),
            None => self.played.tallies[request.class].failed += 1,
        }
    }

    fn served(&mut self, number: usize) {
        let request = &self.requests[number];
        if let Some(parent) = request.parent {
            return self.call_ended(parent, true);
        }
        let class = &self.day.classes[request.class];
        let took = self.now.saturating_duration_since(request.first);
        let tally = &mut self.played.tallies[request.class];
        if took <= class.objective {
            tally.in_time += 1;
        } else {
            tally.late += 1;
        }
    }

    fn change(&mut self, change: &Change) {
        match *change {
            Change::Load(place, times) => self.loads[place] = times,
            Change::Slow(server, times) => self.executors[server].slowness = times,
            Change::Shed(server, share) => self.executors[server].sheds = share,
            Change::Fail(server, share) => self.executors[server].fails = share,
            Change::Leave(server) => self.leave(server),
        }
    }
}

fn address(number: usize) -> SocketAddr {
    let number = u16::try_from(number).expect("few servers");
    SocketAddr::from(([10, 0, 0, 1], 7_000 + number))
}

fn number_of(address: SocketAddr) -> usize {
    usize::from(address.port() - 7_000)
}
