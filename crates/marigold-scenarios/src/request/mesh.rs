//! A few daemons, the messages between them, and the time.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use marigold_config::{Config, Declaration, Resource, Route};
use marigold_control::{Endpoint, EndpointState, View};
use marigold_request::silence::Verdict;
use marigold_types::{Address, DataCentre, ServiceName, SlotCount, Version};
use tokio::time::Instant;

use super::call::Call;
use super::links::Links;
use super::message::{AttemptId, Message, NodeId, Ran};
use super::node::{Node, Process};
use super::watch::{Broken, Watch};

/// How long a message takes.
const LATENCY: Duration = Duration::from_millis(1);
/// How often what is due is looked at.
pub const TICK: Duration = Duration::from_millis(10);
/// How long a crashed backend server is away.
const SERVER_START: Duration = Duration::from_secs(1);
/// The only connection of a daemon to itself.
pub const LOCAL: u64 = 0;

/// Something that happens at its time.
#[derive(Debug, Clone)]
pub enum Event {
    /// A message arrives.
    Deliver {
        from: NodeId,
        to: NodeId,
        link: u64,
        message: Message,
    },
    /// A backend server is done with a request.
    ServerEnd {
        node: NodeId,
        life: u32,
        attempt: AttemptId,
    },
    /// A backend server is there again.
    ServerUp { node: NodeId, life: u32 },
    /// An attempt could not be sent.
    NotSent { attempt: AttemptId },
    /// The time of a call is over.
    Deadline { call: Arc<str> },
    /// A witness took too long over a seal.
    SealLate { call: Arc<str> },
    /// A witness took too long over a start.
    StartLate { node: NodeId, attempt: AttemptId },
    /// Something may be due.
    Tick,
}

/// Everything in a scenario.
pub struct Mesh {
    pub now: Instant,
    pub nodes: Vec<Node>,
    pub config: Config,
    pub view: View,
    pub seen: BTreeMap<NodeId, EndpointState>,
    pub links: Links,
    pub calls: BTreeMap<Arc<str>, Call>,
    pub attempts: BTreeMap<AttemptId, Arc<str>>,
    pub watch: Watch,
    pub broken: Option<Broken>,
    pub lines: Vec<String>,
    pub repeats: Vec<(String, NodeId, NodeId)>,
    pub crashes: u32,
    events: BTreeMap<(Instant, u64), Event>,
    planned: u64,
}

impl Mesh {
    /// Builds an empty mesh with `desk` declared.
    pub fn new() -> Self {
        let now = Instant::now() + Duration::from_hours(1);
        let desk = (
            Resource::Service(desk()),
            Declaration::Service(marigold_config::Service::default()),
        );
        let declared = BTreeMap::from([(desk.0, Arc::new(desk.1))]);
        let config = Config::new(Version(1), declared);
        let nobody = marigold_types::InstanceId {
            address: Address(([10, 0, 0, 0], 7000).into()),
            incarnation: marigold_types::Incarnation(1),
        };
        let view = View::new(nobody, true, Arc::new(config.clone()), BTreeMap::new());
        let mut mesh = Self {
            now,
            nodes: Vec::new(),
            config,
            view,
            seen: BTreeMap::new(),
            links: Links::default(),
            calls: BTreeMap::new(),
            attempts: BTreeMap::new(),
            watch: Watch::default(),
            broken: None,
            lines: Vec::new(),
            repeats: Vec::new(),
            crashes: 0,
            events: BTreeMap::new(),
            planned: 0,
        };
        mesh.plan(TICK, Event::Tick);
        mesh
    }

    /// Declares something more.
    pub fn declare(&mut self, resource: Resource, declaration: Declaration) {
        let mut all = self.config.declarations().clone();
        all.insert(resource, Arc::new(declaration));
        self.config = Config::new(Version(self.config.version.0 + 1), all);
        self.publish();
    }

    /// Returns a declared route.
    pub fn route(&self, name: &str) -> Option<Route> {
        let mut routes = self.config.routes();
        routes
            .find(|(route, _)| route.as_str() == name)
            .map(|(_, route)| route.clone())
    }

    /// Starts a daemon.
    pub fn start(&mut self, centre: &DataCentre, slots: SlotCount) {
        let id = self.nodes.len();
        self.nodes.push(Node::new(id, 1, centre, slots, self.now));
        self.seen.insert(id, EndpointState::Ready);
        self.publish();
    }

    /// Starts a daemon again, with nothing kept.
    pub fn restart(&mut self, id: NodeId) {
        if self.nodes[id].process != Process::Down {
            self.stop(id);
        }
        let old = &self.nodes[id];
        let life = old.instance.incarnation.0 + 1;
        let (centre, slots) = (old.data_centre.clone(), old.slots);
        self.nodes[id] = Node::new(id, life, &centre, slots, self.now);
        self.seen.insert(id, EndpointState::Ready);
        self.publish();
    }

    /// Publishes the view that all daemons read.
    pub fn publish(&mut self) {
        let since = self
            .now
            .checked_sub(Duration::from_mins(10))
            .unwrap_or(self.now);
        let endpoint = |(id, state): (&NodeId, &EndpointState)| {
            let node = &self.nodes[*id];
            Endpoint {
                instance: node.instance,
                service: desk(),
                data_centre: node.data_centre.clone(),
                region: "dyfed".parse().expect("a region's name"),
                slots: node.slots,
                state: *state,
                since,
            }
        };
        let list: Arc<[Endpoint]> = self.seen.iter().map(endpoint).collect();
        let endpoints = BTreeMap::from([(desk(), list)]);
        let local = self.view.local;
        self.view = View::new(local, true, Arc::new(self.config.clone()), endpoints);
        for node in &mut self.nodes {
            node.limiter.refresh(&self.view, self.now);
            node.burn.set_config(&self.config, self.now);
        }
    }

    /// Returns the daemon at `address`.
    pub fn find(&self, address: Address) -> Option<NodeId> {
        self.nodes
            .iter()
            .position(|node| node.instance.address == address)
    }

    /// Plans an event.
    pub fn plan(&mut self, after: Duration, event: Event) {
        self.planned += 1;
        self.events.insert((self.now + after, self.planned), event);
    }

    /// Sends a message over a connection.
    pub fn send(&mut self, from: NodeId, to: NodeId, link: u64, message: Message) {
        let wanted = (message.kind().to_owned(), from, to);
        if let Some(place) = self.repeats.iter().position(|repeat| *repeat == wanted) {
            self.repeats.remove(place);
            let message = message.clone();
            self.plan(
                LATENCY * 5,
                Event::Deliver {
                    from,
                    to,
                    link,
                    message,
                },
            );
        }
        self.plan(
            LATENCY,
            Event::Deliver {
                from,
                to,
                link,
                message,
            },
        );
    }

    /// Lets time pass.
    ///
    /// # Errors
    ///
    /// When a promise is broken.
    pub fn advance(&mut self, time: Duration) -> Result<(), Broken> {
        let end = self.now + time;
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.handle(event);
            if let Some(broken) = self.broken.take() {
                return Err(broken);
            }
        }
        self.now = end;
        Ok(())
    }

    fn handle(&mut self, event: Event) {
        if let Some(node) = self.owner(&event)
            && self.nodes[node].process == Process::Paused
        {
            self.plan(TICK, event);
            return;
        }
        match event {
            Event::Deliver {
                from,
                to,
                link,
                message,
            } => self.deliver(from, to, link, message),
            Event::ServerEnd {
                node,
                life,
                attempt,
            } => self.server_end(node, life, attempt),
            Event::ServerUp { node, life } => self.server_up(node, life),
            Event::NotSent { attempt } => self.not_sent(attempt),
            Event::Deadline { call } => self.deadline(&call),
            Event::SealLate { call } => self.sealed(&call, None),
            Event::StartLate { node, attempt } => self.start_late(node, attempt),
            Event::Tick => self.tick(),
        }
    }

    /// Returns the daemon that an event waits for while it is paused.
    fn owner(&self, event: &Event) -> Option<NodeId> {
        let at = |call: &Arc<str>| self.calls.get(call).map(|call| call.at);
        match event {
            Event::Deliver { to, .. } => Some(*to),
            Event::ServerEnd { node, .. } | Event::StartLate { node, .. } => Some(*node),
            Event::NotSent { attempt } => self.attempts.get(attempt).and_then(at),
            Event::Deadline { call } | Event::SealLate { call } => at(call),
            Event::ServerUp { .. } | Event::Tick => None,
        }
    }

    fn deliver(&mut self, from: NodeId, to: NodeId, link: u64, message: Message) {
        let arrives = self.links.carries(link) && self.links.reaches(from, to);
        if !arrives || self.nodes[to].process == Process::Down {
            return;
        }
        if let Some(open) = self.links.get(to, from).filter(|open| open.number == link) {
            open.monitor.heard(self.now);
        }
        match message {
            Message::Call(attempt, request) => self.take(to, from, link, attempt, *request),
            Message::Reply(attempt, ran, load) => self.replied(attempt, &ran, Some(load)),
            Message::Start(key) => {
                let answer = self.nodes[to].witness.start(&key, self.now);
                self.send(to, from, link, Message::Started(key, answer));
            }
            Message::Started(key, answer) => self.started(to, &key, &answer),
            Message::Seal(call, key) => {
                let answer = self.nodes[to].witness.seal(&key, self.now);
                self.send(to, from, link, Message::Sealed(call, answer));
            }
            Message::Sealed(call, answer) => self.sealed(&call, Some(&answer)),
            Message::Probe => self.send(to, from, link, Message::Alive),
            Message::Alive => {}
        }
    }

    fn tick(&mut self) {
        self.plan(TICK, Event::Tick);
        for id in 0..self.nodes.len() {
            if self.nodes[id].process == Process::Up {
                let moves = self.nodes[id].gate.expire(self.now);
                self.move_on(id, &moves);
                self.tick_drain(id);
                self.tick_limits(id);
            }
        }
        self.tick_links();
    }

    fn tick_limits(&mut self, id: NodeId) {
        let from = self.nodes[id].instance.address;
        for (to, demands) in self.nodes[id].limiter.tick(self.now) {
            let Some(keeper) = self
                .find(to)
                .filter(|keeper| self.links.reaches(id, *keeper))
            else {
                continue;
            };
            if self.nodes[keeper].process == Process::Up {
                let grants = self.nodes[keeper]
                    .limiter
                    .on_demand(from, &demands, self.now);
                self.nodes[id].limiter.on_grants(&grants, self.now);
            }
        }
    }

    /// Probes and replaces connections that say nothing.
    fn tick_links(&mut self) {
        let mut probes = Vec::new();
        let mut silent = Vec::new();
        for ((from, to), link) in self.links.all() {
            if self.nodes[*from].process != Process::Up {
                continue;
            }
            match link.monitor.verdict(self.now) {
                Verdict::Probe => {
                    link.monitor.probe_sent(self.now);
                    probes.push((*from, *to, link.number));
                }
                Verdict::Replace => silent.push((*from, *to, link.number)),
                Verdict::Healthy | Verdict::Doubtful => {}
            }
        }
        for (from, to, link) in probes {
            self.send(from, to, link, Message::Probe);
        }
        for (from, to, number) in silent {
            self.links.close(from, to);
            self.lines.push(format!(
                "d{} replaces its connection to d{}",
                from + 1,
                to + 1
            ));
            self.lose(from, number);
        }
    }

    /// Ends the attempts that went over a connection that is given up.
    fn lose(&mut self, from: NodeId, number: u64) {
        let waits = |call: &Call| call.at == from && call.attempt.is_some_and(|a| a.link == number);
        let attempts: Vec<_> = self.calls.values().filter(|call| waits(call)).collect();
        let attempts: Vec<_> = attempts.iter().filter_map(|call| call.attempt).collect();
        for attempt in attempts {
            self.replied(attempt.id, &Ran::Unknown("connection silent"), None);
        }
    }

    /// Has a backend server crash with all that it runs.
    pub fn crash_server(&mut self, id: NodeId) {
        self.crashes += 1;
        let node = &mut self.nodes[id];
        node.server.crash();
        let life = node.server.life;
        self.lines
            .push(format!("the backend server of d{} crashes", id + 1));
        self.plan(SERVER_START, Event::ServerUp { node: id, life });
        self.server_lost(id);
    }

    fn server_up(&mut self, id: NodeId, life: u32) {
        let node = &mut self.nodes[id];
        if node.server.life == life {
            node.server.up = true;
        }
    }
}

/// The only service of a scenario.
pub fn desk() -> ServiceName {
    "desk".parse().expect("a service's name")
}
