//! Fixtures shared by several tests.
#![allow(dead_code, reason = "each test file uses only some of the fixtures")]

pub mod crashes;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use marigold_config::{Config, Declaration, Limit, Objective, Resource, Service};
use marigold_control::{Endpoint, EndpointState, View};
use marigold_types::{
    Address, CallerName, Incarnation, InstanceId, Interval, Rate, ServiceName, SlotCount, Version,
};
use tokio::time::Instant;

pub const SECOND: Duration = Duration::from_secs(1);

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn interval(millis: u64) -> Interval {
    Interval::from_millis(millis)
}

pub fn service() -> ServiceName {
    "dispatch-desk".parse().unwrap()
}

pub fn address(host: u16) -> Address {
    let [high, low] = host.to_be_bytes();
    Address(([10, 0, high, low], 7000).into())
}

pub fn instance(host: u16, incarnation: u64) -> InstanceId {
    InstanceId {
        address: address(host),
        incarnation: Incarnation(incarnation),
    }
}

/// Creates a ready backend server with four slots that joined at `since`.
pub fn endpoint(host: u16, data_centre: &str, since: Instant) -> Endpoint {
    let region = if data_centre.starts_with("far") {
        "north"
    } else {
        "dyfed"
    };
    Endpoint {
        instance: instance(host, 1),
        service: service(),
        data_centre: data_centre.parse().unwrap(),
        region: region.parse().unwrap(),
        slots: SlotCount(4),
        state: EndpointState::Ready,
        since,
    }
}

pub fn view(endpoints: Vec<Endpoint>, config: Config) -> View {
    let endpoints = BTreeMap::from([(service(), Arc::from(endpoints))]);
    View::new(instance(0, 1), true, Arc::new(config), endpoints)
}

pub fn config(declarations: Vec<(Resource, Declaration)>) -> Config {
    let service = (
        Resource::Service(service()),
        Declaration::Service(Service::default()),
    );
    let all = declarations.into_iter().chain([service]);
    Config::new(
        Version(1),
        all.map(|(name, d)| (name, Arc::new(d))).collect(),
    )
}

pub fn limit(name: &str, caller: Option<&str>, rate: u64) -> (Resource, Declaration) {
    let limit = Limit {
        service: service(),
        caller: caller.map(|name| name.parse::<CallerName>().unwrap()),
        rate: Rate(rate),
    };
    (Resource::Limit(Arc::from(name)), Declaration::Limit(limit))
}

pub fn objective(availability: u32, fast: u32) -> (Resource, Declaration) {
    let objective = Objective {
        availability,
        fast,
        latency: interval(100),
        window: interval(86_400_000),
    };
    (
        Resource::Objective(service()),
        Declaration::Objective(objective),
    )
}
