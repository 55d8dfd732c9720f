//! Simulated meshes of control planes, shared by the tests.
#![allow(dead_code, reason = "each test binary uses only some of the helpers")]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use marigold_config::{Change, Config, Declaration, Resource, Route, Service};
use marigold_control::{
    ControlOptions, ControlPlane, EndpointState, Event, Liveness, Member, MemberTable, Topology,
};
use marigold_log::StreamName;
use marigold_scenarios::control::{Mesh, Operator};
use marigold_types::{
    Address, Class, DataCentre, Incarnation, InstanceId, Interval, ServiceName, SlotCount, Version,
};
use tokio::time::Instant;

pub const SECOND: Duration = Duration::from_secs(1);

/// A simulated mesh and the operator that publishes its configuration.
pub struct Fixture {
    pub mesh: Mesh,
    pub operator: Operator,
}

pub fn service(name: &str) -> ServiceName {
    name.parse().expect("a service name")
}

/// Returns the address of daemon `number` in data centre `centre`.
pub fn address(centre: usize, number: usize) -> Address {
    format!("10.{centre}.{}.{}:7000", number / 200, number % 200 + 1)
        .parse()
        .expect("an address")
}

impl Fixture {
    /// Creates a mesh with one data centre for each of `sizes`, two to a region, and lets it
    /// converge.
    pub fn new(options: ControlOptions, sizes: &[usize], seed: u64) -> Self {
        let mut fixture = Self::unstarted(options, seed);
        fixture.mesh.seeds = vec![address(0, 0), address(0, 1)];
        for (centre, size) in sizes.iter().enumerate() {
            for number in 0..*size {
                fixture.start(centre, number);
            }
        }
        fixture.mesh.advance(20 * SECOND);
        fixture
    }

    /// Creates a mesh without daemons.
    pub fn unstarted(options: ControlOptions, seed: u64) -> Self {
        let operator = Operator::new("root");
        let mesh = Mesh::new(options, operator.trust(), seed);
        Self { mesh, operator }
    }

    /// Starts a daemon whose backend server provides the service `desk`.
    pub fn start(&mut self, centre: usize, number: usize) {
        let data_centre = format!("dc{centre}").parse().expect("a name");
        let region = format!("region{}", centre / 2).parse().expect("a name");
        let address = address(centre, number);
        self.mesh.start(address, &data_centre, &region);
        self.announce(address, "desk", true);
    }

    pub fn restart(&mut self, address: Address) {
        self.mesh.restart(address);
    }

    pub fn announce(&mut self, address: Address, name: &str, healthy: bool) {
        let announced = Event::Announced {
            service: service(name),
            slots: SlotCount(4),
            healthy,
        };
        self.mesh.handle(address, &announced);
    }

    /// Appends a confirmed plan with `changes` to the log and returns the resulting version.
    pub fn publish(&mut self, changes: Vec<Change>) -> Version {
        let base = self.newest();
        let time = self.mesh.time();
        let plan = self.operator.plan(&base, changes, time);
        let record = self.operator.confirm(&plan, time).to_string();
        let appended = self.mesh.log.append(StreamName::Config, record, time);
        Version::at(appended.expect("the log is available"))
    }

    /// Publishes a route to `desk` whose path and deadline depend on `number`.
    pub fn publish_route(&mut self, number: u64) -> Version {
        let changes = vec![
            set_service("desk"),
            set_route(&format!("r{}", number % 5), "desk", number),
        ];
        self.publish(changes)
    }

    fn newest(&self) -> Config {
        let planes = self.mesh.planes().map(ControlPlane::config);
        let newest = planes.max_by_key(|config| config.version);
        newest.expect("a daemon").as_ref().clone()
    }

    /// Returns the distinct versions held by the running daemons.
    pub fn versions(&self) -> BTreeSet<Version> {
        self.mesh
            .planes()
            .map(|plane| plane.config().version)
            .collect()
    }

    /// Returns whether every running daemon serves.
    pub fn all_serve(&self) -> bool {
        self.mesh.planes().all(|plane| plane.view().serving)
    }

    /// Counts the endpoints of `desk` that are in `state` in the view of the daemon at `address`.
    pub fn count(&self, address: Address, state: EndpointState) -> usize {
        let view = self.mesh.plane(address).view();
        let endpoints = view.endpoints_of(&service("desk"));
        endpoints.iter().filter(|e| e.state == state).count()
    }
}

pub fn set_service(name: &str) -> Change {
    Change {
        resource: Resource::Service(service(name)),
        after: Some(Declaration::Service(Service::default())),
    }
}

pub fn set_route(name: &str, to: &str, number: u64) -> Change {
    Change {
        resource: Resource::Route(name.parse().expect("a route name")),
        after: Some(Declaration::Route(Route {
            path: format!("/{name}").into(),
            service: service(to),
            class: Class::Interactive,
            idempotent: true,
            deadline: Interval::from_millis(1_000 + number),
        })),
    }
}

pub fn centre(number: usize) -> DataCentre {
    format!("dc{number}").parse().expect("a name")
}

/// Builds a table of `daemons` live daemons, spread evenly over `centres` data centres.
pub fn table(daemons: usize, centres: usize) -> MemberTable {
    let mut table = MemberTable::new();
    let now = Instant::now();
    for number in 0..daemons {
        let at = number % centres;
        let member = Member {
            instance: InstanceId {
                address: address(at, number / centres),
                incarnation: Incarnation(1),
            },
            revision: 0,
            liveness: Liveness::Alive,
            data_centre: centre(at),
            region: "region0".parse().expect("a name"),
            service: None,
            slots: SlotCount(4),
            healthy: true,
            draining: false,
            unreachable_data_centres: Vec::new(),
        };
        table.merge(&member, now);
    }
    table
}

/// Returns the topology of every daemon of the first data centre.
pub fn topologies(table: &MemberTable, options: &ControlOptions) -> BTreeMap<Address, Topology> {
    let home = centre(0);
    let daemons = table
        .in_data_centre(&home)
        .map(|entry| entry.member.address());
    daemons
        .map(|at| (at, Topology::new(table, at, &home, options)))
        .collect()
}

/// Returns, for each daemon of the first data centre, the number of daemons that it is connected
/// to in either direction.
pub fn count_links(table: &MemberTable, options: &ControlOptions) -> Vec<usize> {
    let mut links: BTreeMap<Address, BTreeSet<Address>> = BTreeMap::new();
    for (at, topology) in topologies(table, options) {
        let mut out = topology.peers();
        out.extend(&topology.children);
        if topology.is_follower {
            // A follower has one connection to each other data centre, and one from each.
            out.extend(
                topology
                    .remote_followers
                    .values()
                    .filter_map(|list| list.first()),
            );
        }
        for peer in out {
            links.entry(at).or_default().insert(peer);
            links.entry(peer).or_default().insert(at);
        }
    }
    links.values().map(BTreeSet::len).collect()
}
