//! The discrete-event simulation of a load scenario.

mod restarts;
mod routing;
mod serving;
mod shares;

use std::net::SocketAddr;
use std::time::Duration;

use marigold_dispatch::{
    Conclusion, Decisions, Directory, LinkRate, Progress, RefusedAttempt, RequestMark, Site,
};
use marigold_types::SlotCount;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use super::class_stats::ClassStats;
use super::daemon::Daemon;
use super::event_queue::{AttemptResult, Event, EventQueue};
use super::executor::Executor;
use super::ingress::{Ingress, data_centre_name};
use super::request::{Attempt, Request};
use super::scenario::{Change, Scenario};
use shares::Shares;

/// The network delay between daemons in one data centre.
const LOCAL_DELAY: Duration = Duration::from_micros(300);
/// The network delay between daemons in different data centres.
const REMOTE_DELAY: Duration = Duration::from_micros(1_400);
/// The interval at which expired requests are removed from the queues.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(20);
/// The maximum number of executors tried for one request.
const MAX_EXECUTORS: usize = 4;
/// The retry delay if no executor gave one.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(200);
/// The retry delay after a rejection by a backend server.
const REJECTED_RETRY_AFTER: Duration = Duration::from_millis(20);
/// A caller waits at most its remaining time divided by this number before a retry.
const MAX_RETRY_WAIT_DIVISOR: u32 = 3;
/// The maximum number of attempts of one request that reach a backend server.
const MAX_ATTEMPTS: u32 = 3;
/// The fraction of an expected run time that must be left for a retry.
const MIN_TIME_LEFT_RATIO: f64 = 0.6;
/// The number of retries allowed beyond the ratio, for all ingresses together.
pub const RETRY_SLACK: f64 = 60.0;
/// The grace period of daemons.
const GRACE: Duration = Duration::from_secs(10);
/// The size of request and response bodies.
const BODY_BYTES: usize = 2_500;

/// The results of a simulation.
#[derive(Debug, Clone, Default)]
pub struct Results {
    /// The request counts of each class.
    pub stats: Vec<ClassStats>,
    /// The number of requests, including caller retries and calls made by runs.
    pub requests: u32,
    /// The number of arrivals at backend servers beyond the first of each request.
    pub retries: u32,
    /// The number of planned stops, the time that they took together, and the requests and calls cut off by them.
    pub stops: u32,
    pub stop_time: Duration,
    pub cut: u32,
}

/// The state of a simulation.
pub struct Simulation {
    scenario: Scenario,
    base: Instant,
    now: Instant,
    events: EventQueue,
    directory: Directory,
    executors: Vec<Executor>,
    ingresses: Vec<Ingress>,
    daemons: Vec<Daemon>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    loads: Vec<f64>,
    surges: Vec<f64>,
    results: Results,
    rng: ChaCha8Rng,
    /// The shares that ingresses send to other data centres, or `None` if each weighs every request by itself.
    shares: Option<Shares>,
}

impl Simulation {
    /// Runs a scenario to its end.
    pub fn simulate(scenario: &Scenario, seed: u64) -> Results {
        let mut simulation = Self::new(scenario.clone(), seed);
        simulation.run();
        simulation.results
    }

    /// Runs a scenario to its end with other ways of deciding than by default.
    pub fn simulate_with(scenario: &Scenario, decisions: Decisions, seed: u64) -> Results {
        let mut simulation = Self::new(scenario.clone(), seed);
        for ingress in &mut simulation.ingresses {
            ingress.placement.set_decisions(decisions);
        }
        simulation.run();
        simulation.results
    }

    /// Runs a scenario in which a share of each data centre's demand goes elsewhere, see docs/design/locality.md.
    pub fn simulate_shares(scenario: &Scenario, seed: u64) -> Results {
        let mut simulation = Self::new(scenario.clone(), seed);
        simulation.shares = Some(Shares::default());
        simulation.run();
        simulation.results
    }

    fn new(scenario: Scenario, seed: u64) -> Self {
        let base = Instant::now();
        let slack = RETRY_SLACK / f64::from(u32::try_from(scenario.servers.len()).expect("few"));
        let mut simulation = Self {
            base,
            now: base,
            events: EventQueue::default(),
            directory: Directory::default(),
            executors: scenario.servers.iter().map(Executor::new).collect(),
            ingresses: Vec::new(),
            daemons: vec![Daemon::new(GRACE); scenario.servers.len()],
            requests: Vec::new(),
            attempts: Vec::new(),
            loads: vec![1.0; scenario.data_centres],
            surges: vec![1.0; scenario.classes.len()],
            results: Results {
                stats: vec![ClassStats::default(); scenario.classes.len()],
                ..Results::default()
            },
            rng: ChaCha8Rng::seed_from_u64(seed),
            shares: None,
            scenario,
        };
        for (number, server) in simulation.scenario.servers.iter().enumerate() {
            simulation.directory.put(Site {
                address: address(number),
                data_centre: data_centre_name(server.data_centre),
                service: server.service.parse().expect("valid service name"),
                version: None,
                slots: SlotCount(server.slots),
                link: LinkRate(100),
                leaving: None,
            });
            let ingress = Ingress::new(server.data_centre, simulation.scenario.byte_cost, slack);
            simulation.ingresses.push(ingress);
        }
        for ingress in &mut simulation.ingresses {
            for (number, executor) in simulation.executors.iter().enumerate() {
                let state = ingress.placement.executor_mut(address(number), base);
                state.apply_report(executor.report(), base);
            }
        }
        for (at, change) in simulation.scenario.changes.clone() {
            simulation.events.add(base + at, Event::Change(change));
        }
        for class in 0..simulation.scenario.classes.len() {
            for data_centre in 0..simulation.scenario.data_centres {
                if simulation.scenario.classes[class].rate > 0.0 {
                    simulation.next_arrival(class, data_centre);
                }
            }
        }
        simulation.events.add(base, Event::RemoveExpired);
        simulation
    }

    fn run(&mut self) {
        while let Some((at, event)) = self.events.next() {
            self.now = at;
            match event {
                Event::Arrival { class, data_centre } => self.arrival(class, data_centre),
                Event::Request(request) => self.request(request),
                Event::Attempt(attempt) => self.attempt(attempt),
                Event::RunEnd { attempt, ok } => self.run_end(attempt, ok),
                Event::Reply { attempt, result } => self.reply(attempt, result),
                Event::RemoveExpired => {
                    self.publish();
                    self.remove_all_expired();
                }
                Event::PollShutdown(daemon) => self.poll_shutdown(daemon),
                Event::Started(daemon) => self.started(daemon),
                Event::Change(change) => self.change(&change),
            }
        }
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.events.add(self.now + delay, event);
    }

    /// Draws from an exponential distribution.
    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.random::<f64>()).ln()
    }

    /// Draws a run time with a standard deviation of half its mean (an Erlang distribution with four phases).
    fn draw_run(&mut self, mean: Duration) -> Duration {
        let phase = mean.as_secs_f64() / 4.0;
        let sum: f64 = (0..4).map(|_| self.exponential(phase)).sum();
        Duration::from_secs_f64(sum)
    }

    fn next_arrival(&mut self, class: usize, data_centre: usize) {
        #[expect(clippy::cast_precision_loss, reason = "a handful")]
        let data_centres = self.scenario.data_centres as f64;
        let load = self.loads[data_centre] * self.surges[class];
        let rate = self.scenario.classes[class].rate * load / data_centres;
        let gap = Duration::from_secs_f64(self.exponential(1.0 / rate));
        if self.now + gap < self.base + self.scenario.duration {
            self.after(gap, Event::Arrival { class, data_centre });
        }
    }

    fn arrival(&mut self, class: usize, data_centre: usize) {
        self.next_arrival(class, data_centre);
        let mut candidates: Vec<_> = (0..self.ingresses.len())
            .filter(|number| self.ingresses[*number].data_centre == data_centre)
            .collect();
        let is_in = |number: &usize| self.daemons[*number].is_in(self.now);
        // Callers have no other way in while fewer than half are ready.
        if 2 * candidates.iter().filter(|number| is_in(number)).count() >= candidates.len() {
            candidates.retain(is_in);
        }
        let ingress = candidates[self.rng.random_range(0..candidates.len())];
        self.results.stats[class].requests += 1;
        let max_retries = self.scenario.callers.max_retries;
        let spread = self.scenario.callers.timeout_spread * self.rng.random::<f64>();
        let timeout = self.scenario.classes[class].timeout.mul_f64(1.0 - spread);
        let deadline = self.now + timeout;
        self.start(class, ingress, deadline, max_retries, None);
    }

    fn start(
        &mut self,
        class: usize,
        ingress: usize,
        deadline: Instant,
        max_retries: u32,
        parent: Option<usize>,
    ) {
        let request = self.requests.len();
        self.requests.push(Request {
            class,
            ingress,
            first_arrival: self.now,
            deadline,
            retries_left: max_retries,
            refusals: 0,
            returns: 0,
            parent,
            tried: Vec::new(),
            progress: Progress::default(),
            objective: Duration::ZERO,
            arrived_at: self.now,
            seen_at: self.now,
            open: None,
            is_over: false,
        });
        self.request(request);
    }

    /// Handles the arrival of a request or of a caller's retry.
    fn request(&mut self, number: usize) {
        if let Some(retry_after) = self.refusal(number) {
            return self.refused(number, retry_after);
        }
        self.open_request(number);
        let request = &mut self.requests[number];
        let class = &self.scenario.classes[request.class];
        let ingress = &mut self.ingresses[request.ingress];
        let timeout = request.deadline.saturating_duration_since(self.now);
        let guess = ingress.caller_timeouts.already_waited(&class.kind, timeout);
        let found = ingress.record_request(class, mark(number), request.deadline, self.now);
        let spent = found.map_or(guess, |found| {
            self.now.saturating_duration_since(found.first_at)
        });
        request.objective = class.objective.saturating_sub(spent);
        request.seen_at = self.now - spent;
        request.returns = found.map_or(0, |found| found.returns);
        request.arrived_at = self.now;
        request.tried.clear();
        request.progress = Progress::default();
        self.results.requests += 1;
        let (class, ingress) = (request.class, request.ingress);
        self.record_arising(class, ingress);
        self.send_to_next(number);
    }

    fn conclude(&mut self, number: usize, conclusion: Conclusion) {
        match conclusion {
            Conclusion::Unknown => self.failed(number),
            Conclusion::NotRun(retry_after) => {
                let jitter = 1.0 + 0.5 * self.rng.random::<f64>();
                self.refused(
                    number,
                    retry_after.unwrap_or(DEFAULT_RETRY_AFTER).mul_f64(jitter),
                );
            }
        }
    }

    fn refused(&mut self, number: usize, retry_after: Duration) {
        self.close_request(number);
        let retries_at_once =
            self.rng.random::<f64>() < self.scenario.callers.immediate_retry_ratio;
        let request = &mut self.requests[number];
        request.refusals += 1;
        let kind = &self.scenario.classes[request.class].kind;
        let ingress = &mut self.ingresses[request.ingress];
        let refused = RefusedAttempt {
            mark: mark(number),
            first_at: request.seen_at,
            deadline: request.deadline,
            returns: request.returns,
        };
        ingress.caller_returns.record_refusal(kind, refused);
        if let Some(parent) = request.parent {
            return self.call_ended(parent, false);
        }
        let left = request.deadline.saturating_duration_since(self.now);
        let wait = if retries_at_once {
            Duration::from_millis(2)
        } else {
            retry_after.min(left / MAX_RETRY_WAIT_DIVISOR)
        };
        if request.retries_left > 0 && left > Duration::from_millis(10) {
            request.retries_left -= 1;
            self.results.stats[request.class].came_back += u32::from(request.refusals == 1);
            return self.after(wait, Event::Request(number));
        }
        let was_retried = request.refusals > 1;
        let stats = &mut self.results.stats[request.class];
        stats.refused += 1;
        stats.refused_again += u32::from(was_retried);
    }

    fn failed(&mut self, number: usize) {
        self.close_request(number);
        let request = &mut self.requests[number];
        request.is_over = true;
        match request.parent {
            Some(parent) => self.call_ended(parent, false),
            None => self.results.stats[request.class].failed += 1,
        }
    }

    fn served(&mut self, number: usize) {
        self.close_request(number);
        let request = &self.requests[number];
        if let Some(parent) = request.parent {
            return self.call_ended(parent, true);
        }
        let class = &self.scenario.classes[request.class];
        let took = self.now.saturating_duration_since(request.first_arrival);
        let stats = &mut self.results.stats[request.class];
        if took <= class.objective {
            stats.on_time += 1;
        } else {
            stats.late += 1;
        }
    }

    fn change(&mut self, change: &Change) {
        match *change {
            Change::Load(data_centre, factor) => self.loads[data_centre] = factor,
            Change::Surge(class, factor) => self.surges[class] = factor,
            Change::Slow(server, factor) => self.executors[server].slowness = factor,
            Change::Reject(server, ratio) => self.executors[server].reject_ratio = ratio,
            Change::Fail(server, ratio) => self.executors[server].fail_ratio = ratio,
            Change::Leave(server) => self.leave(server),
            Change::Restart(server) => self.restart(server),
        }
    }
}

fn address(number: usize) -> SocketAddr {
    let number = u16::try_from(number).expect("few servers");
    SocketAddr::from(([10, 0, 0, 1], 7_000 + number))
}

/// Returns what the caller of a request sends again when it comes back.
fn mark(request: usize) -> RequestMark {
    RequestMark::new("GET", &request.to_string(), BODY_BYTES)
}

fn number_of(address: SocketAddr) -> usize {
    usize::from(address.port() - 7_000)
}
