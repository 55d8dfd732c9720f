//! Meshes of a few control planes for the tests.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::collections::BTreeSet;
use std::time::Duration;

use marigold_config::{Change, Config, Declaration, Resource, Route, Service};
use marigold_control::{ControlOptions, ControlPlane, EndpointState, Event};
use marigold_log::StreamName;
use marigold_scenarios::control::{Mesh, Operator};
use marigold_types::{Address, Class, Interval, ServiceName, SlotCount, Version};

pub const SECOND: Duration = Duration::from_secs(1);

/// A mesh with the operator who publishes its configuration.
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
    /// Makes a mesh of `sizes.len()` data centres, two to a region, and lets it settle.
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

    pub fn unstarted(options: ControlOptions, seed: u64) -> Self {
        let operator = Operator::new("root");
        let mesh = Mesh::new(options, operator.trust(), seed);
        Self { mesh, operator }
    }

    /// Starts a daemon whose backend server runs `desk`.
    pub fn start(&mut self, centre: usize, number: usize) {
        let data_centre = format!("dc{centre}").parse().expect("a name");
        let region = format!("region{}", centre / 2).parse().expect("a name");
        let address = address(centre, number);
        self.mesh.start(address, &data_centre, &region);
        self.announce(address, "desk", true);
    }

    pub fn restart(&mut self, address: Address) {
        self.mesh.restart(address);
        self.announce(address, "desk", true);
    }

    pub fn announce(&mut self, address: Address, name: &str, healthy: bool) {
        let announced = Event::Announced {
            service: service(name),
            slots: SlotCount(4),
            healthy,
        };
        self.mesh.handle(address, &announced);
    }

    /// Confirms `changes` in the log and returns the version that they make.
    pub fn publish(&mut self, changes: Vec<Change>) -> Version {
        let base = self.newest();
        let time = self.mesh.time();
        let plan = self.operator.plan(&base, changes, time);
        let record = self.operator.confirm(&plan, time).to_string();
        let appended = self.mesh.log.append(StreamName::Config, record, time);
        Version::at(appended.expect("the log takes it"))
    }

    /// Publishes a route to `desk` whose content depends on `number`.
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

    /// Returns the versions held by the running daemons.
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

    /// Counts the endpoints of `desk` in `state` in the view at `address`.
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
