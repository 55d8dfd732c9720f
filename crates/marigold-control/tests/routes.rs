//! Routes are live only while their service is declared and has a backend server.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{Fixture, SECOND, address, service, set_route, set_service};
use marigold_config::{Change, Config, Resource};
use marigold_control::{ControlOptions, Endpoint, EndpointState, Event, View};
use marigold_types::{Incarnation, InstanceId, SlotCount, Version};
use quickcheck::{Arbitrary, Gen};

/// The number of random interleavings.
const INTERLEAVINGS: u64 = 30;
const SERVICES: [&str; 3] = ["desk", "ledger", "git"];

/// One step of an interleaving.
#[derive(Debug, Clone)]
enum Step {
    Declare(usize),
    Remove(usize),
    Announce(usize, usize, bool),
    Drain(usize),
    Crash(usize),
    Restart(usize),
    Partition(bool),
    DropPackets(bool),
    Wait(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let service = usize::arbitrary(g) % SERVICES.len();
        let daemon = usize::arbitrary(g) % 4;
        match u8::arbitrary(g) % 10 {
            0 | 1 => Self::Declare(service),
            2 => Self::Remove(service),
            3 | 4 => Self::Announce(daemon, service, bool::arbitrary(g)),
            5 => Self::Drain(daemon),
            6 => Self::Crash(daemon),
            7 => Self::Restart(daemon),
            8 => Self::Partition(bool::arbitrary(g)),
            _ if bool::arbitrary(g) => Self::DropPackets(bool::arbitrary(g)),
            _ => Self::Wait(u8::arbitrary(g) % 50),
        }
    }
}

impl Step {
    fn run(&self, fixture: &mut Fixture) {
        match self {
            Self::Declare(service) => {
                let name = SERVICES[*service];
                fixture.publish(vec![set_service(name), set_route(name, name, 1)]);
            }
            Self::Remove(service) => remove_service(fixture, SERVICES[*service]),
            Self::Announce(daemon, service, healthy) => {
                fixture.announce(address(0, *daemon), SERVICES[*service], *healthy);
            }
            Self::Drain(daemon) => fixture.mesh.handle(address(0, *daemon), &Event::Draining),
            Self::Crash(daemon) => fixture.mesh.crash(address(0, *daemon)),
            Self::Restart(daemon) => fixture.restart(address(0, *daemon)),
            Self::Partition(is_partitioned) => {
                let isolated = "dc1".parse().expect("a name");
                fixture.mesh.data_centre_partitions = if *is_partitioned {
                    vec![[isolated].into()]
                } else {
                    Vec::new()
                };
            }
            Self::DropPackets(is_lossy) => {
                fixture.mesh.lost_per_million = if *is_lossy { 300_000 } else { 0 }
            }
            Self::Wait(ticks) => {
                let step = Duration::from_millis(100);
                for _ in 0..*ticks {
                    fixture.mesh.advance(step);
                    check_routes(fixture);
                }
            }
        }
        fixture.mesh.advance(Duration::from_millis(30));
        check_routes(fixture);
    }
}

fn remove_service(fixture: &mut Fixture, name: &str) {
    let route = Resource::Route(name.parse().expect("a name"));
    let removal = |resource| Change {
        resource,
        after: None,
    };
    let changes = vec![removal(route), removal(Resource::Service(service(name)))];
    fixture.publish(changes);
}

fn check_routes(fixture: &Fixture) {
    for plane in fixture.mesh.planes() {
        let view = plane.view();
        assert!(view.config.is_complete(), "a route without its service");
        for name in view.live_routes() {
            let (_, route) = view.route_for(&format!("/{name}")).expect("live");
            assert!(view.config.service(&route.service).is_some());
            let endpoints = view.endpoints_of(&route.service);
            let accepting = endpoints
                .iter()
                .filter(|e| e.state != EndpointState::Draining);
            assert!(accepting.count() > 0, "{name} has no backend server");
        }
        for (service, _) in view.config.routes().filter_map(|(name, route)| {
            let live = view.live_routes().any(|live| live == name);
            (!live).then_some((&route.service, name))
        }) {
            let endpoints = view.endpoints_of(service);
            assert!(endpoints.iter().all(|e| e.state == EndpointState::Draining));
        }
    }
}

#[test]
fn no_interleaving_leaves_a_live_route_without_a_backend_server() {
    for seed in 0..INTERLEAVINGS {
        let mut g = Gen::from_size_and_seed(30, seed);
        let steps = Vec::<Step>::arbitrary(&mut g);
        let mut fixture = Fixture::new(ControlOptions::time(), &[4, 2], seed);
        for step in &steps {
            step.run(&mut fixture);
        }
        // Once the links work again, the remaining daemons converge.
        fixture.mesh.lost_per_million = 0;
        fixture.mesh.data_centre_partitions.clear();
        fixture.mesh.advance(60 * SECOND);
        check_routes(&fixture);
        assert!(fixture.versions().len() <= 1, "seed {seed}: {steps:?}");
        assert!(fixture.all_serve(), "seed {seed}: {steps:?}");
    }
}

fn view(paths: &[(&str, &str)], served: &[&str]) -> View {
    let mut changes = Vec::new();
    for (path, name) in paths {
        changes.push(set_service(name));
        let mut change = set_route(name, name, 1);
        if let Some(marigold_config::Declaration::Route(route)) = &mut change.after {
            route.path = (*path).into();
        }
        changes.push(change);
    }
    let config = Config::default().with_changes(&changes, Version(1));
    let instance = InstanceId {
        address: address(0, 0),
        incarnation: Incarnation(1),
    };
    let endpoints = served.iter().map(|name| {
        let endpoint = Endpoint {
            instance,
            service: service(name),
            data_centre: "dc0".parse().expect("a name"),
            region: "region0".parse().expect("a name"),
            slots: SlotCount(1),
            state: EndpointState::Ready,
            since: tokio::time::Instant::now(),
        };
        (service(name), Arc::from([endpoint]))
    });
    View::new(instance, true, Arc::new(config), endpoints.collect())
}

macro_rules! path_matching {
    ($($name:ident: $path:literal => $route:expr;)*) => {$(
        #[test]
        fn $name() {
            let paths = [("/", "root"), ("/desk", "desk"), ("/desk/orders/", "orders")];
            let view = view(&paths, &["root", "desk", "undeclared"]);
            let found = view.route_for($path).map(|(name, _)| name.as_str());
            assert_eq!(found, $route);
        }
    )*};
}

path_matching! {
    exact_path: "/desk" => Some("desk");
    trailing_slash: "/desk/" => Some("desk");
    path_below_a_route: "/desk/loads/7" => Some("desk");
    query_is_ignored: "/desk?x=/desk/orders" => Some("desk");
    prefix_within_a_segment_does_not_match: "/desktop" => Some("root");
    root_path: "/" => Some("root");
    unmatched_path_uses_the_root_route: "/other/path" => Some("root");
    longest_match_without_backend_servers_has_no_fallback: "/desk/orders/1" => None;
}

#[test]
fn undeclared_service_has_no_endpoints() {
    let view = view(&[("/", "root")], &["root", "undeclared"]);
    assert!(view.endpoints_of(&service("undeclared")).is_empty());
}
