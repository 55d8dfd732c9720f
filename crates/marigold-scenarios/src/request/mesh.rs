//! A simulated mesh: daemons, the network between them and a simulated clock.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use marigold_config::{Config, Declaration, Resource, Route};
use marigold_control::{Endpoint, EndpointState, View};
use marigold_request::silence::ConnectionState;
use marigold_types::{Address, DataCentre, ServiceName, SlotCount, Version};
use tokio::time::Instant;

use super::call::Call;
use super::invariants::{InvariantChecker, Violation};
use super::links::Links;
use super::message::{AttemptId, AttemptResult, Message, NodeId};
use super::node::{Node, Process};

/// The transit time of a message.
const MESSAGE_LATENCY: Duration = Duration::from_millis(1);
/// The interval between two ticks of all daemons.
pub const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// The time that a crashed backend server takes to restart.
const SERVER_RESTART_TIME: Duration = Duration::from_secs(1);
/// The connection number of messages from a daemon to itself and to and from witnesses; it never
/// goes silent.
pub const LOCAL_LINK: u64 = 0;

/// A scheduled event.
#[derive(Debug, Clone)]
pub enum Event {
    /// Delivers a message.
    Deliver {
        from: NodeId,
        to: NodeId,
        link: u64,
        message: Message,
    },
    /// A backend server finishes a request.
    ServerFinished {
        node: NodeId,
        incarnation: u32,
        attempt: AttemptId,
    },
    /// A crashed backend server is running again.
    ServerRestarted { node: NodeId, incarnation: u32 },
    /// No connection could be opened for an attempt.
    SendFailed { attempt: AttemptId },
    /// The deadline of a call has passed.
    Deadline { call: Arc<str> },
    /// A witness did not answer a seal request in time.
    SealTimeout { call: Arc<str> },
    /// A witness did not answer a start request in time.
    StartTimeout { node: NodeId, attempt: AttemptId },
    /// Runs periodic work.
    Tick,
}

/// The state of a scenario.
pub struct Mesh {
    pub now: Instant,
    pub nodes: Vec<Node>,
    pub config: Config,
    pub view: View,
    pub endpoint_states: BTreeMap<NodeId, EndpointState>,
    pub links: Links,
    pub calls: BTreeMap<Arc<str>, Call>,
    pub attempts: BTreeMap<AttemptId, Arc<str>>,
    pub invariants: InvariantChecker,
    pub violation: Option<Violation>,
    pub output: Vec<String>,
    pub duplicates: Vec<(String, NodeId, NodeId)>,
    pub server_crashes: u32,
    events: BTreeMap<(Instant, u64), Event>,
    scheduled_events: u64,
}

impl Mesh {
    /// Creates a mesh without daemons and with the service `desk`.
    pub fn new() -> Self {
        let now = Instant::now() + Duration::from_hours(1);
        let desk = (
            Resource::Service(desk_service()),
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
            endpoint_states: BTreeMap::new(),
            links: Links::default(),
            calls: BTreeMap::new(),
            attempts: BTreeMap::new(),
            invariants: InvariantChecker::default(),
            violation: None,
            output: Vec::new(),
            duplicates: Vec::new(),
            server_crashes: 0,
            events: BTreeMap::new(),
            scheduled_events: 0,
        };
        mesh.schedule(TICK_INTERVAL, Event::Tick);
        mesh
    }

    /// Adds a declaration to the configuration and publishes it.
    pub fn declare(&mut self, resource: Resource, declaration: Declaration) {
        let mut all = self.config.declarations().clone();
        all.insert(resource, Arc::new(declaration));
        self.config = Config::new(Version(self.config.version.0 + 1), all);
        self.publish();
    }

    /// Returns the declared route called `name`.
    pub fn route(&self, name: &str) -> Option<Route> {
        let mut routes = self.config.routes();
        routes
            .find(|(route, _)| route.as_str() == name)
            .map(|(_, route)| route.clone())
    }

    /// Starts a new daemon.
    pub fn start(&mut self, centre: &DataCentre, slots: SlotCount) {
        let id = self.nodes.len();
        self.nodes.push(Node::new(id, 1, centre, slots, self.now));
        self.endpoint_states.insert(id, EndpointState::Ready);
        self.publish();
    }

    /// Restarts a daemon under the next incarnation number, without any state from before.
    pub fn restart(&mut self, id: NodeId) {
        if self.nodes[id].process != Process::Down {
            self.stop(id);
        }
        let old = &self.nodes[id];
        let incarnation = old.instance.incarnation.0 + 1;
        let (centre, slots) = (old.data_centre.clone(), old.slots);
        self.nodes[id] = Node::new(id, incarnation, &centre, slots, self.now);
        self.endpoint_states.insert(id, EndpointState::Ready);
        self.publish();
    }

    /// Rebuilds the view that all daemons share.
    pub fn publish(&mut self) {
        let since = self
            .now
            .checked_sub(Duration::from_mins(10))
            .unwrap_or(self.now);
        let endpoint = |(id, state): (&NodeId, &EndpointState)| {
            let node = &self.nodes[*id];
            Endpoint {
                instance: node.instance,
                service: desk_service(),
                data_centre: node.data_centre.clone(),
                region: "dyfed".parse().expect("a valid region name"),
                slots: node.slots,
                state: *state,
                since,
            }
        };
        let list: Arc<[Endpoint]> = self.endpoint_states.iter().map(endpoint).collect();
        let endpoints = BTreeMap::from([(desk_service(), list)]);
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

    /// Schedules an event.
    pub fn schedule(&mut self, after: Duration, event: Event) {
        self.scheduled_events += 1;
        self.events
            .insert((self.now + after, self.scheduled_events), event);
    }

    /// Sends a message on a connection, twice if a duplicate of it was requested.
    pub fn send(&mut self, from: NodeId, to: NodeId, link: u64, message: Message) {
        let wanted = (message.kind().to_owned(), from, to);
        if let Some(index) = self
            .duplicates
            .iter()
            .position(|duplicate| *duplicate == wanted)
        {
            self.duplicates.remove(index);
            let message = message.clone();
            self.schedule(
                MESSAGE_LATENCY * 5,
                Event::Deliver {
                    from,
                    to,
                    link,
                    message,
                },
            );
        }
        self.schedule(
            MESSAGE_LATENCY,
            Event::Deliver {
                from,
                to,
                link,
                message,
            },
        );
    }

    /// Advances the simulated time and handles the events that are due.
    ///
    /// # Errors
    ///
    /// Returns the first violated invariant.
    pub fn advance(&mut self, time: Duration) -> Result<(), Violation> {
        let end = self.now + time;
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.handle(event);
            if let Some(violation) = self.violation.take() {
                return Err(violation);
            }
        }
        self.now = end;
        Ok(())
    }

    fn handle(&mut self, event: Event) {
        if let Some(node) = self.receiver(&event)
            && self.nodes[node].process == Process::Paused
        {
            self.schedule(TICK_INTERVAL, event);
            return;
        }
        match event {
            Event::Deliver {
                from,
                to,
                link,
                message,
            } => self.deliver(from, to, link, message),
            Event::ServerFinished {
                node,
                incarnation,
                attempt,
            } => self.on_server_finished(node, incarnation, attempt),
            Event::ServerRestarted { node, incarnation } => {
                self.on_server_restarted(node, incarnation);
            }
            Event::SendFailed { attempt } => self.on_send_failed(attempt),
            Event::Deadline { call } => self.on_deadline(&call),
            Event::SealTimeout { call } => self.on_seal_answer(&call, None),
            Event::StartTimeout { node, attempt } => self.on_start_timeout(node, attempt),
            Event::Tick => self.tick(),
        }
    }

    /// Returns the daemon that handles an event; while it is paused, the event is delayed.
    fn receiver(&self, event: &Event) -> Option<NodeId> {
        let at = |call: &Arc<str>| self.calls.get(call).map(|call| call.at);
        match event {
            Event::Deliver { to, .. } => Some(*to),
            Event::ServerFinished { node, .. } | Event::StartTimeout { node, .. } => Some(*node),
            Event::SendFailed { attempt } => self.attempts.get(attempt).and_then(at),
            Event::Deadline { call } | Event::SealTimeout { call } => at(call),
            Event::ServerRestarted { .. } | Event::Tick => None,
        }
    }

    fn deliver(&mut self, from: NodeId, to: NodeId, link: u64, message: Message) {
        let arrives = self.links.carries(link) && self.links.reaches(from, to);
        if !arrives || self.nodes[to].process == Process::Down {
            return;
        }
        if let Some(open) = self.links.get(to, from).filter(|open| open.number == link) {
            open.monitor.received(self.now);
        }
        match message {
            Message::Call(attempt, request) => {
                self.receive_request(to, from, link, attempt, *request);
            }
            Message::Reply(attempt, attempt_result, load) => {
                self.on_reply(attempt, &attempt_result, Some(load));
            }
            Message::Start(key) => {
                let answer = self.nodes[to].witness_table.start(&key, self.now);
                self.send(to, from, link, Message::Started(key, answer));
            }
            Message::Started(key, answer) => self.on_start_answer(to, &key, &answer),
            Message::Seal(call, key) => {
                let answer = self.nodes[to].witness_table.seal(&key, self.now);
                self.send(to, from, link, Message::Sealed(call, answer));
            }
            Message::Sealed(call, answer) => self.on_seal_answer(&call, Some(&answer)),
            Message::Probe => self.send(to, from, link, Message::Alive),
            Message::Alive => {}
        }
    }

    fn tick(&mut self) {
        self.schedule(TICK_INTERVAL, Event::Tick);
        for id in 0..self.nodes.len() {
            if self.nodes[id].process == Process::Up {
                let update = self.nodes[id].admission.expire(self.now);
                self.apply_queue_update(id, &update);
                self.tick_drain(id);
                self.tick_limits(id);
            }
        }
        self.tick_links();
    }

    fn tick_limits(&mut self, id: NodeId) {
        let from = self.nodes[id].instance.address;
        for (to, demands) in self.nodes[id].limiter.tick(self.now) {
            let Some(allocator) = self
                .find(to)
                .filter(|allocator| self.links.reaches(id, *allocator))
            else {
                continue;
            };
            if self.nodes[allocator].process == Process::Up {
                let grants = self.nodes[allocator]
                    .limiter
                    .on_demand(from, &demands, self.now);
                self.nodes[id].limiter.on_grants(&grants, self.now);
            }
        }
    }

    /// Probes silent connections and closes those that stay silent.
    fn tick_links(&mut self) {
        let mut probes = Vec::new();
        let mut silent = Vec::new();
        for ((from, to), link) in self.links.all() {
            if self.nodes[*from].process != Process::Up {
                continue;
            }
            match link.monitor.state(self.now) {
                ConnectionState::ProbeDue => {
                    link.monitor.probe_sent(self.now);
                    probes.push((*from, *to, link.number));
                }
                ConnectionState::Silent => silent.push((*from, *to, link.number)),
                ConnectionState::Healthy | ConnectionState::Probing => {}
            }
        }
        for (from, to, link) in probes {
            self.send(from, to, link, Message::Probe);
        }
        for (from, to, number) in silent {
            self.links.close(from, to);
            self.output.push(format!(
                "d{} replaces its connection to d{}",
                from + 1,
                to + 1
            ));
            self.fail_attempts(from, number);
        }
    }

    /// Ends the attempts that were sent on a closed connection, as *unknown*.
    fn fail_attempts(&mut self, from: NodeId, number: u64) {
        let uses_link =
            |call: &Call| call.at == from && call.attempt.is_some_and(|a| a.link == number);
        let attempts: Vec<_> = self.calls.values().filter(|call| uses_link(call)).collect();
        let attempts: Vec<_> = attempts.iter().filter_map(|call| call.attempt).collect();
        for attempt in attempts {
            self.on_reply(
                attempt.id,
                &AttemptResult::Unknown("connection silent"),
                None,
            );
        }
    }

    /// Crashes a backend server and schedules its restart.
    pub fn crash_server(&mut self, id: NodeId) {
        self.server_crashes += 1;
        let node = &mut self.nodes[id];
        node.server.crash();
        let incarnation = node.server.incarnation;
        self.output
            .push(format!("the backend server of d{} crashes", id + 1));
        self.schedule(
            SERVER_RESTART_TIME,
            Event::ServerRestarted {
                node: id,
                incarnation,
            },
        );
        self.on_server_crash(id);
    }

    fn on_server_restarted(&mut self, id: NodeId, incarnation: u32) {
        let node = &mut self.nodes[id];
        if node.server.incarnation == incarnation {
            node.server.is_up = true;
        }
    }
}

/// Returns the only service of all scenarios.
pub fn desk_service() -> ServiceName {
    "desk".parse().expect("a valid service name")
}
