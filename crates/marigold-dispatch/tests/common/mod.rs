//! Names and times for the tests of decisions.
#![allow(dead_code, reason = "each test file uses a part")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use marigold_dispatch::{
    Announcement, CallKind, LinkRate, Rank, ServingState, Site, SiteReport, SlotRequest,
};
use marigold_types::{DataCentre, ServiceName, SlotCount};
use tokio::time::Instant;

/// Returns so many milliseconds.
pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns the kind of work called `name`.
pub fn kind(name: &str) -> CallKind {
    name.parse().expect("a kind")
}

/// Returns the service called `name`.
pub fn service(name: &str) -> ServiceName {
    name.parse().expect("a service")
}

/// Returns the data centre called `name`.
pub fn data_centre(name: &str) -> DataCentre {
    name.parse().expect("a data centre")
}

/// Returns the address of the daemon with this number.
pub fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7000))
}

/// Returns work that came at `now`.
pub fn work(name: &str, rank: u8, objective: u64, deadline: u64, now: Instant) -> SlotRequest {
    SlotRequest {
        kind: kind(name),
        rank: Rank(rank),
        objective: now + ms(objective),
        deadline: now + ms(deadline),
    }
}

/// Returns the daemon with this number beside a backend server with 4 slots.
pub fn site(number: u8, place: &str) -> Site {
    Site {
        address: address(number),
        data_centre: data_centre(place),
        service: service("desk"),
        slots: SlotCount(4),
        link: LinkRate(100),
    }
}

/// Returns what an executor with 4 slots says of itself.
pub fn report(busy: u32, queued: u32) -> SiteReport {
    SiteReport {
        service: Some(service("desk")),
        slots: SlotCount(4),
        busy: SlotCount(busy),
        queued: SlotCount(queued),
        mean_run: ms(50),
    }
}

/// Returns an announcement of a life that takes work.
pub fn announcement(identity: &str, started_ms: u64, sequence: u64) -> Announcement {
    Announcement {
        identity: Arc::from(identity),
        started_ms: Some(started_ms),
        sequence,
        service: service("desk"),
        address: address(9),
        slots: SlotCount(4),
        state: ServingState::Ready,
        warmup: Duration::ZERO,
    }
}
