//! Many desks and homes, and the messages between them.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use marigold_dispatch::quota::{
    QuotaAsk, QuotaDesk, QuotaGrant, QuotaHome, QuotaSlot, QuotaTicket, QuotaVerdict,
};
use marigold_dispatch::{Precedence, RequestQuota, Workspace, WorkspaceTable};
use marigold_types::WorkspaceName;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

const STEP: Duration = Duration::from_millis(5);
const WINDOW: Duration = Duration::from_secs(5);
/// What a window may hold beyond the quota: a part of it and a number.
const OVER: f64 = 1.1;
const SLACK: f64 = 20.0;
/// The time after which all daemons know a changed quota.
const MAX_CHANGE_DELAY: Duration = Duration::from_secs(2);
/// The longest time for which a daemon is down, paused or cut off at random.
const MAX_FAULT_STEPS: u32 = 1200;
/// The number of daemons that the callers of a workspace use at a time.
const ENTRANCES: usize = 5;

/// What happens to the daemons, as probabilities per step.
#[derive(Debug, Clone, Copy)]
pub struct Disturbance {
    /// All daemons are killed.
    pub kill_all: f64,
    /// A daemon is killed.
    pub kill: f64,
    /// A daemon is paused.
    pub pause: f64,
    /// A daemon no longer reaches another, or all others, in one direction.
    pub cut: f64,
    /// The daemons fall into two parts that don't reach each other.
    pub split: f64,
    /// The quota of a workspace changes.
    pub change: f64,
}

enum Message {
    Ask(QuotaAsk),
    Grant(QuotaGrant),
}

struct Sent {
    arrives_at: Instant,
    from: usize,
    /// Run of the receiver; a later one doesn't get the message.
    run: u64,
    message: Message,
}

struct Daemon {
    run: u64,
    desk: QuotaDesk,
    home: QuotaHome,
    table: WorkspaceTable,
    down_until: Instant,
    paused_until: Instant,
    inbox: VecDeque<Sent>,
    tickets: HashMap<QuotaTicket, usize>,
}

pub struct QuotaMesh {
    now: Instant,
    began: Instant,
    rng: ChaCha8Rng,
    daemons: Vec<Daemon>,
    quotas: Vec<RequestQuota>,
    /// Quotas before a change, and when all daemons know the change.
    former: Vec<(usize, RequestQuota, Instant)>,
    /// Tables that daemons are yet to receive.
    updates: Vec<(Instant, usize, WorkspaceTable)>,
    /// Until when messages from one daemon to another are held back.
    cuts: BTreeMap<(usize, usize), Instant>,
    disturbance: Option<Disturbance>,
    demand: Box<dyn Fn(usize, u64) -> f64>,
    heat: Vec<f64>,
    granted: Vec<Vec<(Instant, usize)>>,
    counts: Vec<(u32, u32)>,
    /// Tokens of each workspace in a bucket that sees all requests at once, and the requests that it refused.
    exact: Vec<(f64, u32)>,
    next_run: u64,
}

fn address(index: usize) -> SocketAddr {
    let number = u8::try_from(index + 1).expect("few daemons");
    SocketAddr::from(([10, 0, 0, number], 7000))
}

fn name(workspace: usize) -> WorkspaceName {
    format!("ws-{workspace}").parse().expect("a name")
}

impl QuotaMesh {
    pub fn new(daemons: usize, quotas: &[RequestQuota], seed: u64) -> Self {
        let now = Instant::now();
        let mut mesh = Self {
            now,
            began: now,
            rng: ChaCha8Rng::seed_from_u64(seed),
            daemons: Vec::new(),
            quotas: quotas.to_vec(),
            former: Vec::new(),
            updates: Vec::new(),
            cuts: BTreeMap::new(),
            disturbance: None,
            demand: Box::new(|_, _| 0.0),
            heat: vec![1.0; quotas.len()],
            granted: vec![Vec::new(); quotas.len()],
            counts: vec![(0, 0); quotas.len()],
            exact: quotas.iter().map(|quota| (quota.burst, 0)).collect(),
            next_run: 1,
        };
        for index in 0..daemons {
            let daemon = mesh.start(index, daemons, now);
            mesh.daemons.push(daemon);
        }
        mesh
    }

    fn start(&mut self, index: usize, count: usize, at: Instant) -> Daemon {
        let run = self.next_run;
        self.next_run += 1;
        let addresses: Vec<_> = (0..count).map(address).collect();
        let mut desk = QuotaDesk::new(address(index), run, at);
        desk.set_daemons(&addresses, at);
        let mut home = QuotaHome::new(run, at);
        home.set_daemons(count, at);
        Daemon {
            run,
            desk,
            home,
            table: self.table(),
            down_until: at,
            paused_until: at,
            inbox: VecDeque::new(),
            tickets: HashMap::new(),
        }
    }

    fn table(&self) -> WorkspaceTable {
        let mut table = WorkspaceTable::default();
        for (index, quota) in self.quotas.iter().enumerate() {
            let workspace = Workspace {
                name: name(index),
                precedence: Precedence::default(),
                quota: Some(*quota),
            };
            table.insert(workspace, []);
        }
        table
    }

    /// Sets the requests per second of each workspace in each second.
    pub fn set_demand(&mut self, demand: impl Fn(usize, u64) -> f64 + 'static) {
        self.demand = Box::new(demand);
    }

    /// Multiplies the demand of `workspace`.
    pub fn heat(&mut self, workspace: usize, factor: f64) {
        self.heat[workspace] = factor;
    }

    pub fn disturb(&mut self, disturbance: Disturbance) {
        self.disturbance = Some(disturbance);
    }

    pub fn quota(&self, workspace: usize) -> RequestQuota {
        self.quotas[workspace]
    }

    pub fn forget_counts(&mut self) {
        self.counts.fill((0, 0));
        for (_, excess) in &mut self.exact {
            *excess = 0;
        }
        for granted in &mut self.granted {
            granted.clear();
        }
    }

    pub fn granted(&self, workspace: usize) -> u32 {
        self.counts[workspace].0
    }

    pub fn granted_by(&self, daemon: usize) -> usize {
        let all = self.granted.iter().flatten();
        all.filter(|(_, by)| *by == daemon).count()
    }

    pub fn refused(&self, workspace: usize) -> u32 {
        self.counts[workspace].1
    }

    /// Returns the requests of a workspace that are over its quota.
    pub fn excess(&self, workspace: usize) -> u32 {
        self.exact[workspace].1
    }

    /// Returns the numbers of refused and granted requests.
    pub fn totals(&self) -> (u32, u32) {
        let refused = self.counts.iter().map(|(_, refused)| refused).sum();
        (
            refused,
            self.counts.iter().map(|(granted, _)| granted).sum(),
        )
    }

    /// Returns the home of a workspace while all daemons are up.
    pub fn home_of(&self, workspace: usize) -> usize {
        let addresses: Vec<_> = (0..self.daemons.len()).map(address).collect();
        let first = QuotaSlot::of(&name(workspace)).rank(&addresses)[0];
        let is_first = |index: &usize| address(*index) == first;
        (0..self.daemons.len()).find(is_first).expect("a daemon")
    }

    pub fn kill(&mut self, index: usize, down: Duration) {
        let until = self.now + down;
        let count = self.daemons.len();
        self.daemons[index] = self.start(index, count, until);
        self.daemons[index].down_until = until;
        // Connections to it are reset, and new ones refused, unless no packet comes through.
        for other in 0..count {
            if !self.is_cut(index, other) && !self.is_cut(other, index) {
                let desk = &mut self.daemons[other].desk;
                desk.on_unreachable(address(index), true, self.now);
            }
        }
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let until = self.cuts.get(&(from, to));
        until.is_some_and(|until| *until > self.now)
    }

    pub fn kill_all(&mut self) {
        for index in 0..self.daemons.len() {
            self.kill(index, Duration::from_millis(500));
        }
    }

    pub fn pause(&mut self, index: usize, time: Duration) {
        self.daemons[index].paused_until = self.now + time;
    }

    /// Cuts a daemon off from all others for good.
    pub fn isolate(&mut self, index: usize) {
        let until = self.now + Duration::from_hours(1);
        for other in (0..self.daemons.len()).filter(|other| *other != index) {
            self.cuts.insert((index, other), until);
            self.cuts.insert((other, index), until);
        }
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.disturb_step();
            self.apply_updates();
            for index in 0..self.daemons.len() {
                self.step(index);
            }
            self.arrive();
        }
    }

    fn disturb_step(&mut self) {
        let Some(disturbance) = self.disturbance else {
            return;
        };
        let count = self.daemons.len();
        let fault = STEP * self.rng.random_range(1..MAX_FAULT_STEPS);
        let index = self.rng.random_range(0..count);
        if self.rng.random_bool(disturbance.kill_all) {
            self.kill_all();
        }
        if self.rng.random_bool(disturbance.kill) {
            self.kill(index, fault);
        }
        if self.rng.random_bool(disturbance.pause) {
            self.pause(index, fault);
        }
        if self.rng.random_bool(disturbance.cut) {
            let cuts_all = self.rng.random_bool(0.3);
            let other = self.rng.random_range(0..count);
            let is_outward = self.rng.random_bool(0.5);
            for peer in (0..count).filter(|peer| cuts_all || *peer == other) {
                let pair = if is_outward {
                    (index, peer)
                } else {
                    (peer, index)
                };
                self.cuts.insert(pair, self.now + fault);
            }
        }
        if self.rng.random_bool(disturbance.split) {
            let part: Vec<_> = (0..count).map(|_| self.rng.random_bool(0.5)).collect();
            let pairs = (0..count * count).map(|pair| (pair / count, pair % count));
            for (from, to) in pairs.filter(|(from, to)| part[*from] != part[*to]) {
                self.cuts.insert((from, to), self.now + fault);
            }
        }
        if self.rng.random_bool(disturbance.change) {
            self.change_quota();
        }
    }

    fn change_quota(&mut self) {
        let workspace = self.rng.random_range(0..self.quotas.len());
        let known_at = self.now + MAX_CHANGE_DELAY;
        self.former
            .push((workspace, self.quotas[workspace], known_at));
        let rate = f64::from(self.rng.random_range(1..400_u32)) / 10.0;
        let burst = f64::from(self.rng.random_range(0..40_u32));
        self.quotas[workspace] = RequestQuota { rate, burst };
        let table = self.table();
        for index in 0..self.daemons.len() {
            let delay = MAX_CHANGE_DELAY.mul_f64(self.rng.random_range(0.0..1.0));
            self.updates.push((self.now + delay, index, table.clone()));
        }
    }

    fn apply_updates(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.updates)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.updates = later;
        let due: Vec<(Instant, usize, WorkspaceTable)> = due;
        for (_, index, table) in due {
            self.daemons[index].table = table;
        }
    }

    fn is_running(&self, index: usize) -> bool {
        let daemon = &self.daemons[index];
        daemon.down_until <= self.now && daemon.paused_until <= self.now
    }

    fn step(&mut self, index: usize) {
        if !self.is_running(index) {
            return;
        }
        let now = self.now;
        while let Some(position) = self.next_message(index) {
            let Some(sent) = self.daemons[index].inbox.remove(position) else {
                break;
            };
            let daemon = &mut self.daemons[index];
            if sent.run != daemon.run {
                continue;
            }
            match sent.message {
                Message::Ask(ask) => {
                    if let Some(grant) = daemon.home.answer(&ask, &daemon.table, now) {
                        self.send(index, sent.from, Message::Grant(grant));
                    }
                }
                Message::Grant(grant) => {
                    let verdicts = daemon.desk.on_grant(address(sent.from), &grant, now);
                    self.judge(index, verdicts);
                }
            }
        }
        let actions = self.daemons[index].desk.poll(now);
        self.judge(index, actions.verdicts);
        for (home, ask) in actions.asks {
            let is_home = |other: &usize| address(*other) == home;
            let home = (0..self.daemons.len()).find(is_home).expect("a daemon");
            self.send(index, home, Message::Ask(ask));
        }
    }

    /// Returns the position of a message that has arrived. Messages of one sender stay in order.
    fn next_message(&self, index: usize) -> Option<usize> {
        let is_due = |sent: &Sent| sent.arrives_at <= self.now && !self.is_cut(sent.from, index);
        self.daemons[index].inbox.iter().position(is_due)
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        if self.daemons[to].down_until > self.now {
            if !self.is_cut(from, to) && !self.is_cut(to, from) {
                let desk = &mut self.daemons[from].desk;
                desk.on_unreachable(address(to), true, self.now);
            }
            return;
        }
        let delay = if from == to {
            Duration::ZERO
        } else {
            STEP * self.rng.random_range(0..3)
        };
        let earlier = self.daemons[to]
            .inbox
            .iter()
            .rev()
            .find(|sent| sent.from == from);
        let earliest = earlier.map_or(self.now, |sent| sent.arrives_at);
        let sent = Sent {
            arrives_at: earliest.max(self.now + delay),
            from,
            run: self.daemons[to].run,
            message,
        };
        self.daemons[to].inbox.push_back(sent);
    }

    fn judge(&mut self, index: usize, verdicts: Vec<(QuotaTicket, QuotaVerdict)>) {
        for (ticket, verdict) in verdicts {
            let Some(workspace) = self.daemons[index].tickets.remove(&ticket) else {
                continue;
            };
            if verdict == QuotaVerdict::Granted {
                self.granted[workspace].push((self.now, index));
                self.counts[workspace].0 += 1;
            } else {
                self.counts[workspace].1 += 1;
            }
        }
    }

    /// Lets the requests of one step arrive, at a few daemons for each workspace, which change each second.
    fn arrive(&mut self) {
        let second = self.now.saturating_duration_since(self.began).as_secs();
        for workspace in 0..self.quotas.len() {
            let quota = self.quotas[workspace];
            let tokens = &mut self.exact[workspace].0;
            *tokens = (*tokens + quota.rate * STEP.as_secs_f64()).min(quota.burst.max(1.0));
            let mut expected =
                (self.demand)(workspace, second) * self.heat[workspace] * STEP.as_secs_f64();
            while expected > 0.0 {
                if self.rng.random_bool(expected.min(1.0)) {
                    self.send_request(workspace, second);
                }
                expected -= 1.0;
            }
        }
    }

    fn send_request(&mut self, workspace: usize, second: u64) {
        let first = usize::try_from(second).expect("a short run") * 3 + workspace * 7;
        let index = (first + self.rng.random_range(0..ENTRANCES)) % self.daemons.len();
        if !self.is_running(index) {
            return;
        }
        let (tokens, excess) = &mut self.exact[workspace];
        if *tokens >= 1.0 {
            *tokens -= 1.0;
        } else {
            *excess += 1;
        }
        let daemon = &mut self.daemons[index];
        let ticket = daemon.desk.request(&name(workspace), self.now);
        daemon.tickets.insert(ticket, workspace);
    }

    /// Checks every window of every workspace against the largest quota that held in it.
    pub fn check_sums(&self, what: &str) {
        for (workspace, granted) in self.granted.iter().enumerate() {
            let mut first = 0;
            for (last, (at, _)) in granted.iter().enumerate() {
                while granted[first].0 + WINDOW <= *at {
                    first += 1;
                }
                let count = f64::from(u32::try_from(last - first + 1).expect("few requests"));
                let began = granted[first].0;
                let former = self.former.iter();
                let held = former
                    .filter(|(of, _, known_at)| *of == workspace && *known_at + WINDOW >= began)
                    .map(|(_, quota, _)| quota)
                    .chain([&self.quotas[workspace]]);
                let bound = held
                    .map(|quota| (quota.rate * WINDOW.as_secs_f64() + quota.burst) * OVER + SLACK)
                    .fold(0.0, f64::max);
                assert!(
                    count <= bound,
                    "{what}: {count} of workspace {workspace}, bound {bound}"
                );
            }
        }
    }
}
