//! Fixtures shared by the integration tests.
#![allow(dead_code, reason = "not every test file uses every fixture")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use marigold_dispatch::{
    Announcement, CallKind, LinkRate, Rank, ServingState, Site, SiteReport, SlotRequest,
};
use marigold_types::{DataCentre, ServiceName, SlotCount};
use tokio::time::Instant;

/// Returns a duration in milliseconds.
pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns the request kind `name`.
pub fn kind(name: &str) -> CallKind {
    name.parse().expect("valid kind")
}

/// Returns the service `name`.
pub fn service(name: &str) -> ServiceName {
    name.parse().expect("valid service name")
}

/// Returns the data centre `name`.
pub fn data_centre(name: &str) -> DataCentre {
    name.parse().expect("valid data centre name")
}

/// Returns the address of daemon `number`.
pub fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7000))
}

/// Returns a slot request that arrives at `now`; objective and deadline are in milliseconds.
pub fn slot_request(
    name: &str,
    rank: u8,
    objective: u64,
    deadline: u64,
    now: Instant,
) -> SlotRequest {
    SlotRequest {
        workspace: None,
        precedence: marigold_dispatch::Precedence::default(),
        kind: kind(name),
        rank: Rank(rank),
        objective: now + ms(objective),
        deadline: now + ms(deadline),
    }
}

/// Returns the record of daemon `number`, whose backend server has 4 slots.
pub fn site(number: u8, data_centre_name: &str) -> Site {
    Site {
        address: address(number),
        data_centre: data_centre(data_centre_name),
        service: service("desk"),
        version: None,
        slots: SlotCount(4),
        link: LinkRate(100),
        leaving: None,
    }
}

/// Returns the report of an executor with 4 slots.
pub fn report(busy: u32, queued: u32) -> SiteReport {
    SiteReport {
        service: Some(service("desk")),
        slots: SlotCount(4),
        busy: SlotCount(busy),
        queued: SlotCount(queued),
        mean_run: ms(50),
    }
}

/// Returns the announcement of an instance that accepts requests.
pub fn announcement(identity: &str, started_ms: u64, sequence: u64) -> Announcement {
    Announcement {
        identity: Arc::from(identity),
        started_ms: Some(started_ms),
        sequence,
        service: service("desk"),
        version: None,
        address: address(9),
        slots: SlotCount(4),
        state: ServingState::Ready,
        warmup: Duration::ZERO,
    }
}
