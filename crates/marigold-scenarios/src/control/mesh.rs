//! A few control planes and a queue of messages between them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use marigold_config::Trust;
use marigold_control::{Action, ControlOptions, ControlPlane, Event, LocalInstance, Traffic};
use marigold_types::{
    Address, DataCentre, Incarnation, InstanceId, LogOffset, RecordTime, Region, SlotCount,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use super::FakeLog;
use super::fake_log::unavailable;

/// How often each control plane hears that time has passed.
const TICK: Duration = Duration::from_millis(100);
/// The time of the log's clock at the start.
const EPOCH: RecordTime = RecordTime(1_700_000_000_000);

/// One daemon's place in the mesh.
pub struct Node {
    /// The data centre.
    pub data_centre: DataCentre,
    /// The region of the data centre.
    pub region: Region,
    /// The control plane, unless the daemon is down.
    pub plane: Option<ControlPlane>,
    /// Since when the process has been paused.
    pub paused: Option<Instant>,
    /// How often it was started.
    pub start_count: u64,
    /// How the backend server beside it last announced itself.
    pub announced: Option<Event>,
}

/// Something on its way to a daemon.
enum Parcel {
    Event(Event),
    Message { from: Address, message: Vec<u8> },
}

/// Carries messages between control planes, with delay, loss and cuts; it decides nothing.
pub struct Mesh {
    /// The daemons.
    pub nodes: BTreeMap<Address, Node>,
    /// The log that they all use.
    pub log: FakeLog,
    /// The options of daemons started from now on.
    pub options: ControlOptions,
    /// What daemons started from now on trust.
    pub trust: Trust,
    /// The seeds of daemons started from now on.
    pub seeds: Vec<Address>,
    /// The data centres that are cut off from all others, each group by itself.
    pub data_centre_partitions: Vec<BTreeSet<DataCentre>>,
    /// The data centres from which the log cannot be reached.
    pub data_centres_without_log: BTreeSet<DataCentre>,
    /// The daemons that a broken switch cuts off from all others, each group by itself.
    pub daemon_partitions: Vec<BTreeSet<Address>>,
    /// Of a million messages, how many are lost.
    pub lost_per_million: u32,
    /// The kinds of messages that a daemon does not get.
    pub dropped_kinds: BTreeMap<Address, BTreeSet<&'static str>>,
    /// Whether a daemon that is down refuses connections, in place of staying silent.
    pub refuses_connections: bool,
    /// What all daemons have sent, by kind, also those that are down now.
    pub sent: BTreeMap<&'static str, Traffic>,
    /// The present.
    pub now: Instant,
    start: Instant,
    tick: Instant,
    queue: BTreeMap<(Instant, u64), (Address, Parcel)>,
    count: u64,
    rng: ChaCha8Rng,
}

impl Mesh {
    /// Makes a mesh without daemons.
    #[must_use]
    pub fn new(options: ControlOptions, trust: Trust, seed: u64) -> Self {
        let now = Instant::now();
        Self {
            nodes: BTreeMap::new(),
            log: FakeLog::default(),
            options,
            trust,
            seeds: Vec::new(),
            data_centre_partitions: Vec::new(),
            daemon_partitions: Vec::new(),
            data_centres_without_log: BTreeSet::new(),
            lost_per_million: 0,
            dropped_kinds: BTreeMap::new(),
            refuses_connections: true,
            sent: BTreeMap::new(),
            now,
            start: now,
            tick: now + TICK,
            queue: BTreeMap::new(),
            count: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Starts the daemon at `address`, which keeps nothing of an earlier life.
    pub fn start(&mut self, address: Address, data_centre: &DataCentre, region: &Region) {
        let start_count = self.nodes.get(&address).map_or(0, |node| node.start_count) + 1;
        let local = LocalInstance {
            instance: InstanceId {
                address,
                incarnation: Incarnation(start_count),
            },
            data_centre: data_centre.clone(),
            region: region.clone(),
            service: None,
            slots: SlotCount(0),
            healthy: false,
            draining: false,
        };
        let (options, trust) = (self.options.clone(), self.trust.clone());
        let (seeds, seed) = (self.seeds.clone(), self.rng.random());
        let plane = ControlPlane::new(local, options, trust, seeds, seed, self.now);
        let node = Node {
            data_centre: data_centre.clone(),
            region: region.clone(),
            plane: Some(plane),
            paused: None,
            start_count,
            announced: None,
        };
        self.nodes.insert(address, node);
    }

    /// Stops the daemon at `address` at once.
    pub fn crash(&mut self, address: Address) {
        if let Some(node) = self.nodes.get_mut(&address) {
            node.plane = None;
        }
    }

    /// Starts the daemon at `address` again; its backend server announces itself as before.
    pub fn restart(&mut self, address: Address) {
        let node = &self.nodes[&address];
        let (data_centre, region) = (node.data_centre.clone(), node.region.clone());
        let announced = node.announced.clone();
        self.start(address, &data_centre, &region);
        if let Some(announced) = announced {
            self.handle(address, &announced);
        }
    }

    /// Stops the clock of the daemon at `address`.
    pub fn pause(&mut self, address: Address) {
        let now = self.now;
        if let Some(node) = self.nodes.get_mut(&address) {
            node.paused = Some(now);
        }
    }

    /// Lets the daemon at `address` go on; what was sent to it has waited.
    pub fn resume(&mut self, address: Address) {
        let Some(node) = self.nodes.get_mut(&address) else {
            return;
        };
        if let Some(since) = node.paused.take() {
            let gap = self.now.duration_since(since);
            self.handle(address, &Event::Resumed { gap });
        }
    }

    /// Returns the running control plane at `address`.
    ///
    /// # Panics
    ///
    /// When that daemon is down.
    #[must_use]
    pub fn plane(&self, address: Address) -> &ControlPlane {
        let plane = self.nodes[&address].plane.as_ref();
        plane.expect("a running daemon")
    }

    /// Returns the running control planes.
    pub fn planes(&self) -> impl Iterator<Item = &ControlPlane> {
        self.nodes.values().filter_map(|node| node.plane.as_ref())
    }

    /// Returns the present by the log's clock.
    #[must_use]
    pub fn time(&self) -> RecordTime {
        let passed = self.now.duration_since(self.start).as_millis();
        RecordTime(EPOCH.0 + u64::try_from(passed).unwrap_or(u64::MAX))
    }

    /// Gives `event` to the daemon at `address` and does what it asks for.
    pub fn handle(&mut self, address: Address, event: &Event) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&address) else {
            return;
        };
        if matches!(event, Event::Announced { .. }) {
            node.announced = Some(event.clone());
        }
        let Some(plane) = node.plane.as_mut() else {
            return;
        };
        for action in plane.handle(event, now) {
            self.carry_out(address, action);
        }
    }

    /// Lets time pass.
    pub fn advance(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            let next = self.tick.min(end);
            self.deliver(next);
            self.now = next;
            if self.now < self.tick {
                return;
            }
            self.tick += TICK;
            let awake = |node: &Node| node.plane.is_some() && node.paused.is_none();
            let nodes = self.nodes.iter().filter(|(_, node)| awake(node));
            let addresses: Vec<Address> = nodes.map(|(address, _)| *address).collect();
            for address in addresses {
                self.handle(address, &Event::Tick);
            }
        }
    }

    fn carry_out(&mut self, from: Address, action: Action) {
        let time = self.time();
        match action {
            Action::Send { to, kind, message } => {
                let traffic = self.sent.entry(kind).or_default();
                traffic.messages += 1;
                traffic.bytes += message.len() as u64;
                let deaf = self.dropped_kinds.get(&to);
                if !deaf.is_some_and(|kinds| kinds.contains(kind)) && !self.is_lost(from, to) {
                    self.post(to, Parcel::Message { from, message });
                }
            }
            Action::ReadLog {
                stream,
                from: offset,
                limit,
            } => {
                let result = if self.is_blind(from) {
                    Err(unavailable("read"))
                } else {
                    self.log.read(stream, offset, limit)
                };
                self.post(from, Parcel::Event(Event::LogRead { stream, result }));
            }
            Action::AppendLog { stream, data } => {
                let result = if self.is_blind(from) {
                    Err(unavailable("append"))
                } else {
                    self.log.append(stream, data, time)
                };
                self.post(from, Parcel::Event(Event::LogAppended { stream, result }));
            }
        }
    }

    fn post(&mut self, to: Address, parcel: Parcel) {
        let delay = Duration::from_micros(self.rng.random_range(500..5_000));
        self.count += 1;
        let key = (self.now + delay, self.count);
        self.queue.insert(key, (to, parcel));
    }

    fn is_blind(&self, address: Address) -> bool {
        let node = self.nodes.get(&address);
        node.is_some_and(|node| self.data_centres_without_log.contains(&node.data_centre))
    }

    fn is_lost(&mut self, from: Address, to: Address) -> bool {
        let group = |address: Address| {
            let centre = self.nodes.get(&address).map(|node| &node.data_centre);
            let is_in = |group: &BTreeSet<DataCentre>| centre.is_some_and(|c| group.contains(c));
            let switch = self
                .daemon_partitions
                .iter()
                .position(|group| group.contains(&address));
            (self.data_centre_partitions.iter().position(is_in), switch)
        };
        group(from) != group(to) || self.rng.random_range(0..1_000_000) < self.lost_per_million
    }

    fn deliver(&mut self, until: Instant) {
        let mut waiting = Vec::new();
        while let Some(first) = self.queue.first_entry() {
            if first.key().0 > until {
                break;
            }
            let ((at, place), (to, parcel)) = first.remove_entry();
            if self
                .nodes
                .get(&to)
                .is_some_and(|node| node.paused.is_some())
            {
                waiting.push(((at, place), (to, parcel)));
                continue;
            }
            self.now = self.now.max(at);
            self.hand_over(to, parcel);
        }
        self.queue.extend(waiting);
    }

    fn hand_over(&mut self, to: Address, parcel: Parcel) {
        let is_up = self.nodes.get(&to).is_some_and(|node| node.plane.is_some());
        match parcel {
            Parcel::Event(event) => self.handle(to, &event),
            Parcel::Message { from, message } if is_up => {
                self.handle(to, &Event::Received { from, message });
            }
            Parcel::Message { from, .. } if self.refuses_connections => {
                self.handle(from, &Event::Unreachable { peer: to });
            }
            Parcel::Message { .. } => {}
        }
    }

    /// Returns the offset that the next append to the configuration stream gets.
    #[must_use]
    pub fn log_end(&self) -> LogOffset {
        self.log.end(marigold_log::StreamName::Config)
    }
}
