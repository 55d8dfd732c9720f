//! A simulated mesh: control planes with a simulated clock, network and log.

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
use super::fake_log::unavailable_error;

/// The interval between two ticks of each control plane.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// The start of the log's clock, in milliseconds since the Unix epoch.
const START_TIME: RecordTime = RecordTime(1_700_000_000_000);

/// The daemon at one address, across its restarts.
pub struct Node {
    /// The data centre.
    pub data_centre: DataCentre,
    /// The region of the data centre.
    pub region: Region,
    /// The control plane; `None` while the daemon is down.
    pub plane: Option<ControlPlane>,
    /// When the daemon was paused; `None` unless it is paused.
    pub paused_since: Option<Instant>,
    /// The number of starts; each new instance uses it as its incarnation number.
    pub start_count: u64,
    /// The last announcement of its backend server, repeated after a restart.
    pub last_announcement: Option<Event>,
}

/// A queued event or message for a daemon.
enum Delivery {
    Event(Event),
    Message { from: Address, message: Vec<u8> },
}

/// Delivers messages between control planes with simulated delays, losses and partitions.
pub struct Mesh {
    /// The daemons by address.
    pub nodes: BTreeMap<Address, Node>,
    /// The log shared by all daemons.
    pub log: FakeLog,
    /// The options for daemons that are started later.
    pub options: ControlOptions,
    /// The trust settings for daemons that are started later.
    pub trust: Trust,
    /// The seed addresses for daemons that are started later.
    pub seeds: Vec<Address>,
    /// Groups of data centres; each group is partitioned from all other data centres.
    pub data_centre_partitions: Vec<BTreeSet<DataCentre>>,
    /// The data centres that cannot reach the log.
    pub data_centres_without_log: BTreeSet<DataCentre>,
    /// Groups of daemons; each group is partitioned from all other daemons.
    pub daemon_partitions: Vec<BTreeSet<Address>>,
    /// The number of messages lost at random, per million.
    pub lost_per_million: u32,
    /// The kinds of messages that are dropped, by receiver.
    pub dropped_kinds: BTreeMap<Address, BTreeSet<&'static str>>,
    /// Whether the host of a stopped daemon refuses connections; otherwise it does not respond.
    pub refuses_connections: bool,
    /// The traffic sent by all daemons so far, by kind of message.
    pub sent: BTreeMap<&'static str, Traffic>,
    /// The current simulated time.
    pub now: Instant,
    start: Instant,
    next_tick: Instant,
    queue: BTreeMap<(Instant, u64), (Address, Delivery)>,
    enqueued: u64,
    rng: ChaCha8Rng,
}

impl Mesh {
    /// Creates a mesh without daemons; `seed` initializes its random number generator.
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
            next_tick: now + TICK_INTERVAL,
            queue: BTreeMap::new(),
            enqueued: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Starts a daemon at `address`, without any state of an earlier instance.
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
            paused_since: None,
            start_count,
            last_announcement: None,
        };
        self.nodes.insert(address, node);
    }

    /// Kills the daemon at `address` without a shutdown.
    pub fn crash(&mut self, address: Address) {
        if let Some(node) = self.nodes.get_mut(&address) {
            node.plane = None;
        }
    }

    /// Restarts the daemon at `address` and repeats the last announcement of its backend server.
    pub fn restart(&mut self, address: Address) {
        let node = &self.nodes[&address];
        let (data_centre, region) = (node.data_centre.clone(), node.region.clone());
        let last_announcement = node.last_announcement.clone();
        self.start(address, &data_centre, &region);
        if let Some(last_announcement) = last_announcement {
            self.handle(address, &last_announcement);
        }
    }

    /// Pauses the daemon at `address`; messages to it are held back.
    pub fn pause(&mut self, address: Address) {
        let now = self.now;
        if let Some(node) = self.nodes.get_mut(&address) {
            node.paused_since = Some(now);
        }
    }

    /// Resumes the daemon at `address`, which then receives the messages that were held back.
    pub fn resume(&mut self, address: Address) {
        let Some(node) = self.nodes.get_mut(&address) else {
            return;
        };
        if let Some(since) = node.paused_since.take() {
            let gap = self.now.duration_since(since);
            self.handle(address, &Event::Resumed { gap });
        }
    }

    /// Returns the control plane at `address`.
    ///
    /// # Panics
    ///
    /// Panics if that daemon is unknown or down.
    #[must_use]
    pub fn plane(&self, address: Address) -> &ControlPlane {
        let plane = self.nodes[&address].plane.as_ref();
        plane.expect("a running daemon")
    }

    /// Returns the control planes of all daemons that are not down.
    pub fn planes(&self) -> impl Iterator<Item = &ControlPlane> {
        self.nodes.values().filter_map(|node| node.plane.as_ref())
    }

    /// Returns the current time of the log's clock.
    #[must_use]
    pub fn time(&self) -> RecordTime {
        let passed = self.now.duration_since(self.start).as_millis();
        RecordTime(START_TIME.0 + u64::try_from(passed).unwrap_or(u64::MAX))
    }

    /// Passes `event` to the daemon at `address` and performs the resulting actions.
    pub fn handle(&mut self, address: Address, event: &Event) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&address) else {
            return;
        };
        if matches!(event, Event::Announced { .. }) {
            node.last_announcement = Some(event.clone());
        }
        let Some(plane) = node.plane.as_mut() else {
            return;
        };
        for action in plane.handle(event, now) {
            self.perform(address, action);
        }
    }

    /// Advances the simulated time, delivering messages and ticks that are due.
    pub fn advance(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            let next = self.next_tick.min(end);
            self.deliver(next);
            self.now = next;
            if self.now < self.next_tick {
                return;
            }
            self.next_tick += TICK_INTERVAL;
            let is_awake = |node: &Node| node.plane.is_some() && node.paused_since.is_none();
            let nodes = self.nodes.iter().filter(|(_, node)| is_awake(node));
            let addresses: Vec<Address> = nodes.map(|(address, _)| *address).collect();
            for address in addresses {
                self.handle(address, &Event::Tick);
            }
        }
    }

    fn perform(&mut self, from: Address, action: Action) {
        let time = self.time();
        match action {
            Action::Send { to, kind, message } => {
                let traffic = self.sent.entry(kind).or_default();
                traffic.messages += 1;
                traffic.bytes += message.len() as u64;
                let dropped_kinds = self.dropped_kinds.get(&to);
                if !dropped_kinds.is_some_and(|kinds| kinds.contains(kind))
                    && !self.is_lost(from, to)
                {
                    self.enqueue(to, Delivery::Message { from, message });
                }
            }
            Action::ReadLog {
                stream,
                from: offset,
                limit,
            } => {
                let result = if self.is_log_unreachable(from) {
                    Err(unavailable_error("read"))
                } else {
                    self.log.read(stream, offset, limit)
                };
                self.enqueue(from, Delivery::Event(Event::LogRead { stream, result }));
            }
            Action::AppendLog { stream, data } => {
                let result = if self.is_log_unreachable(from) {
                    Err(unavailable_error("append"))
                } else {
                    self.log.append(stream, data, time)
                };
                self.enqueue(from, Delivery::Event(Event::LogAppended { stream, result }));
            }
        }
    }

    fn enqueue(&mut self, to: Address, delivery: Delivery) {
        let delay = Duration::from_micros(self.rng.random_range(500..5_000));
        self.enqueued += 1;
        let key = (self.now + delay, self.enqueued);
        self.queue.insert(key, (to, delivery));
    }

    fn is_log_unreachable(&self, address: Address) -> bool {
        let node = self.nodes.get(&address);
        node.is_some_and(|node| self.data_centres_without_log.contains(&node.data_centre))
    }

    fn is_lost(&mut self, from: Address, to: Address) -> bool {
        let group = |address: Address| {
            let centre = self.nodes.get(&address).map(|node| &node.data_centre);
            let is_in = |group: &BTreeSet<DataCentre>| centre.is_some_and(|c| group.contains(c));
            let daemon_group = self
                .daemon_partitions
                .iter()
                .position(|group| group.contains(&address));
            (
                self.data_centre_partitions.iter().position(is_in),
                daemon_group,
            )
        };
        group(from) != group(to) || self.rng.random_range(0..1_000_000) < self.lost_per_million
    }

    fn deliver(&mut self, until: Instant) {
        let mut held_back = Vec::new();
        while let Some(first) = self.queue.first_entry() {
            if first.key().0 > until {
                break;
            }
            let ((at, number), (to, delivery)) = first.remove_entry();
            if self
                .nodes
                .get(&to)
                .is_some_and(|node| node.paused_since.is_some())
            {
                held_back.push(((at, number), (to, delivery)));
                continue;
            }
            self.now = self.now.max(at);
            self.dispatch(to, delivery);
        }
        self.queue.extend(held_back);
    }

    fn dispatch(&mut self, to: Address, delivery: Delivery) {
        let is_up = self.nodes.get(&to).is_some_and(|node| node.plane.is_some());
        match delivery {
            Delivery::Event(event) => self.handle(to, &event),
            Delivery::Message { from, message } if is_up => {
                self.handle(to, &Event::Received { from, message });
            }
            Delivery::Message { from, .. } if self.refuses_connections => {
                self.handle(from, &Event::Unreachable { peer: to });
            }
            Delivery::Message { .. } => {}
        }
    }

    /// Returns the offset of the next append to the configuration stream.
    #[must_use]
    pub fn log_end(&self) -> LogOffset {
        self.log.end(marigold_log::StreamName::Config)
    }
}
