//! A service during the roll-out of a version, with the decisions of the real gate and judge.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use marigold_dispatch::{
    CallKind, CanaryWindow, Directory, KindCounts, RolloutJudge, RolloutOrder, RolloutState,
    RolloutStatus, ServerVersion, VersionCounts, VersionGate, VersionRule,
};
use marigold_types::{LogOffset, SlotCount};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use crate::common::{address, kind, ms, service, site};

const STEP: Duration = Duration::from_millis(20);
const POLL_INTERVAL: Duration = Duration::from_millis(300);
/// When the servers of the new version have started.
const START_TIME: Duration = Duration::from_millis(1_500);
const SLOTS: u32 = 9;
/// Idempotent runs are given up after this many times the usual run time, once a second attempt has succeeded.
const GIVE_UP_RATIO: f64 = 4.0;
/// Runs of a small service are slow from this time.
const SLOW_TIME: Duration = Duration::from_millis(50);
/// Operators accept no requests to a bad version later than this after so many bad responses.
const ROLLBACK_TIME: Duration = Duration::from_secs(5);
const BAD_RESPONSES: usize = 50;

/// How the new version is at fault.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    None,
    /// This share of all responses fail, from this time after the start of its servers.
    Failing(f64, Duration),
    /// As `Failing`, on the first kind only.
    FailingKind(f64),
    /// As `Failing`, while at least this many requests run on the server.
    UnderLoad(f64, u32),
    /// Runs take this many times as long.
    Slow(f64, Duration),
    /// This many servers fail the share of their responses.
    GreyServers(u32, f64),
    /// This many servers are so many times as slow.
    SlowServers(u32, f64),
    /// Servers of all versions fail the share of their responses.
    Everywhere(f64),
    /// This many servers break off all runs between 4 and 6 seconds after the order.
    Crash(u32),
}

struct Run {
    kind: usize,
    began: Instant,
    time: Duration,
    fails: bool,
    /// Whether a second attempt elsewhere ends it before its response.
    is_given_up: bool,
}

struct Server {
    address: SocketAddr,
    index: u32,
    is_target: bool,
    speed: f64,
    runs: Vec<Run>,
    counts: Vec<KindCounts>,
}

/// Requests a second, run time and whether they are idempotent, for each kind.
pub const DESK: [(f64, u64, bool); 2] = [(451.0, 220, true), (437.0, 290, false)];
pub const LEDGER: [(f64, u64, bool); 3] =
    [(141.0, 150, false), (310.0, 880, true), (300.0, 55, true)];

/// As above, of a small service.
pub const SMALL: [(f64, u64, bool); 1] = [(300.0, 20, true)];

pub struct Model {
    rng: ChaCha8Rng,
    kinds: Vec<(f64, u64, bool)>,
    servers: Vec<Server>,
    fault: Fault,
    pub began: Instant,
    pub duration: Duration,
    /// Requests that reached the version before the end, and all requests.
    pub exposed: u32,
    pub total: u32,
    /// Requests that reached the version although it should have been rolled back.
    pub late: u32,
    /// When slow runs of the version ended.
    slow_at: Vec<Instant>,
    gives_up: bool,
}

impl Model {
    pub fn new(kinds: &[(f64, u64, bool)], fault: Fault, duration: Duration, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let names: Vec<CallKind> = (0..kinds.len()).map(|n| kind(&format!("k{n}"))).collect();
        let servers = (0..70).map(|n| Server {
            address: address(n),
            index: u32::from(n) / 2,
            is_target: n % 2 == 1,
            speed: 0.8 + 0.5 * rng.random::<f64>(),
            runs: Vec::new(),
            counts: names.iter().cloned().map(KindCounts::new).collect(),
        });
        Self {
            servers: servers.collect(),
            rng,
            kinds: kinds.to_vec(),
            fault,
            began: Instant::now(),
            duration,
            exposed: 0,
            total: 0,
            late: 0,
            slow_at: Vec::new(),
            gives_up: false,
        }
    }

    /// Returns a service with as many `targets` as servers of the old version, where second attempts end slow runs.
    pub fn small(targets: usize, fault: Fault, duration: Duration, seed: u64) -> Self {
        let mut model = Self::new(&SMALL, fault, duration, seed);
        model.servers.truncate(2 * targets);
        model.gives_up = true;
        model
    }

    /// Plays the roll-out and returns its final state.
    pub fn play(&mut self) -> Option<RolloutState> {
        let order = RolloutOrder {
            id: LogOffset(3),
            service: service("desk"),
            target: version("v2"),
            duration: self.duration,
        };
        let mut judge = RolloutJudge::new(order.clone(), self.began);
        let mut gate = VersionGate::default();
        let mut directory = Directory::default();
        self.add_sites(&mut directory, false);
        gate.observe(&directory, self.began);
        let mut status: Option<RolloutStatus> = None;
        let mut now = self.began;
        let mut polled_at = now;
        while now < self.began + self.duration {
            now += STEP;
            if now - self.began >= START_TIME && directory.len() < self.servers.len() {
                self.add_sites(&mut directory, true);
                gate.observe(&directory, now);
            }
            gate.update(&order, self.began, status.as_ref(), Some(now), now);
            self.step(&gate, now);
            if now - polled_at < POLL_INTERVAL {
                continue;
            }
            polled_at = now;
            for (address, counts) in self.poll(now) {
                judge.update(address, counts, now);
            }
            if let Some(step) = judge.decide(status.as_ref(), now) {
                status = Some(RolloutStatus {
                    state: step.state,
                    target: order.target.clone(),
                    order: Some(order.id),
                    began_ms: None,
                });
            }
        }
        status.map(|status| status.state)
    }

    fn add_sites(&self, directory: &mut Directory, is_target: bool) {
        for server in self
            .servers
            .iter()
            .filter(|server| server.is_target == is_target)
        {
            let mut record = site(0, "here");
            record.address = server.address;
            record.slots = SlotCount(SLOTS);
            record.version = Some(version(if is_target { "v2" } else { "v1" }));
            directory.put(record);
        }
    }

    fn step(&mut self, gate: &VersionGate, now: Instant) {
        for server in &mut self.servers {
            let counts = &mut server.counts;
            server.runs.retain(|run| {
                let is_over = now >= run.began + run.time;
                if is_over && server.is_target && run.time >= SLOW_TIME {
                    self.slow_at.push(now);
                }
                let counts = &mut counts[run.kind];
                if is_over && run.is_given_up {
                    counts.given_up.record(run.time);
                } else if is_over {
                    counts.ended += 1;
                    counts.failed += u32::from(run.fails);
                    counts.timed += u32::from(!run.fails);
                    counts.run_time += if run.fails { Duration::ZERO } else { run.time };
                }
                !is_over
            });
        }
        for kind in 0..self.kinds.len() {
            let mut due = self.kinds[kind].0 * STEP.as_secs_f64();
            while due > 0.0 {
                if self.rng.random::<f64>() < due {
                    self.send(gate, kind, now);
                }
                due -= 1.0;
            }
        }
    }

    fn send(&mut self, gate: &VersionGate, kind: usize, now: Instant) {
        let idempotent = self.kinds[kind].2;
        let desk = service("desk");
        self.total += 1;
        let rule = gate.rule(&desk, true, idempotent, &mut self.rng, now);
        let index = match rule {
            VersionRule::Canary { .. } => self.canary(gate.age(&desk, now)),
            VersionRule::Only(_) => Some(self.least_busy(true)),
            VersionRule::Any | VersionRule::Except(_) => None,
        };
        let index = index.unwrap_or_else(|| self.least_busy(false));
        let is_target = self.servers[index].is_target;
        self.exposed += u32::from(is_target);
        let limit = self
            .slow_at
            .get(BAD_RESPONSES - 1)
            .map(|at| *at + ROLLBACK_TIME);
        self.late += u32::from(is_target && limit.is_some_and(|limit| now > limit));
        self.start(index, kind, now);
    }

    fn canary(&self, age: Duration) -> Option<usize> {
        let indexes: HashMap<_, _> = (0..self.servers.len())
            .filter(|index| self.servers[*index].is_target)
            .map(|index| (self.servers[index].address, index))
            .collect();
        let order = CanaryWindow::at(age).order(indexes.keys().copied());
        let mut candidates = order.iter().map(|address| indexes[address]);
        candidates.find(|index| self.servers[*index].runs.len() < SLOTS as usize)
    }

    fn least_busy(&mut self, is_target: bool) -> usize {
        let candidates: Vec<_> = (0..self.servers.len())
            .filter(|index| self.servers[*index].is_target == is_target)
            .collect();
        let mut pick = || candidates[self.rng.random_range(0..candidates.len())];
        let (a, b) = (pick(), pick());
        if self.servers[a].runs.len() <= self.servers[b].runs.len() {
            a
        } else {
            b
        }
    }

    fn start(&mut self, index: usize, kind: usize, now: Instant) {
        let age = (now - self.began).saturating_sub(START_TIME);
        let server = &mut self.servers[index];
        let busy = u32::try_from(server.runs.len()).expect("few runs");
        // Servers slow down when they are nearly full.
        let contention = if busy + 2 >= SLOTS { 1.5 } else { 1.0 };
        let mut factor = server.speed * contention * (0.7 + 0.6 * self.rng.random::<f64>());
        let chance = match self.fault {
            Fault::Failing(share, from) if server.is_target && age >= from => share,
            Fault::FailingKind(share) if server.is_target && kind == 0 => share,
            Fault::UnderLoad(share, load) if server.is_target && busy >= load => share,
            Fault::GreyServers(count, share) if server.is_target && server.index < count => share,
            Fault::Everywhere(share) => share,
            Fault::Crash(count) if server.is_target && server.index < count => {
                f64::from(u8::from((ms(2_500)..ms(4_500)).contains(&age)))
            }
            _ => 0.0,
        };
        match self.fault {
            Fault::Slow(times, from) if server.is_target && age >= from => factor *= times,
            Fault::SlowServers(count, times) if server.is_target && server.index < count => {
                factor *= times;
            }
            _ => {}
        }
        let is_given_up = self.gives_up && self.kinds[kind].2 && factor > GIVE_UP_RATIO;
        let factor = if is_given_up { GIVE_UP_RATIO } else { factor };
        server.runs.push(Run {
            kind,
            began: now,
            time: ms(self.kinds[kind].1).mul_f64(factor),
            is_given_up,
            fails: self.rng.random::<f64>() < chance,
        });
    }

    fn poll(&self, now: Instant) -> Vec<(SocketAddr, VersionCounts)> {
        let counts = |server: &Server| {
            let mut kinds = server.counts.clone();
            for run in &server.runs {
                kinds[run.kind]
                    .open
                    .push(now.saturating_duration_since(run.began));
            }
            let counts = VersionCounts {
                service: service("desk"),
                version: version(if server.is_target { "v2" } else { "v1" }),
                instance: 1,
                kinds,
            };
            (server.address, counts)
        };
        let has_started = now - self.began >= START_TIME;
        let servers = self
            .servers
            .iter()
            .filter(|server| has_started || !server.is_target);
        servers.map(counts).collect()
    }
}

pub fn version(text: &str) -> ServerVersion {
    text.parse().expect("a version")
}
