//! Configuration of a stand-in for a backend server.

use std::net::SocketAddr;

use marigold_types::{Interval, ServiceName, SlotCount};

use super::ServiceTime;

/// The configuration of one stand-in.
#[derive(Debug, Clone)]
pub struct BackendPlan {
    /// The service of the backend server.
    pub service: ServiceName,
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The number of requests that run at once.
    pub slots: SlotCount,
    /// The maximum number of open connections; further ones are closed at once.
    pub connections: u32,
    /// The delay before the first request of a new connection is read.
    pub connect_delay: Interval,
    /// The distribution of the time that a request runs.
    pub time: ServiceTime,
    /// The seed for drawing service times.
    pub seed: u64,
    /// The time after a start or restart during which requests are refused.
    pub cold_start: Interval,
    /// The delay between a crash and the restart. Without it, the stand-in does not restart.
    pub restart: Option<Interval>,
    /// The callers' address of a daemon, for requests that make further calls.
    pub egress: Option<SocketAddr>,
}

impl BackendPlan {
    /// Returns a configuration for `service` on a free port of the loopback interface.
    #[must_use]
    pub fn new(service: ServiceName) -> Self {
        Self {
            service,
            listen: ([127, 0, 0, 1], 0).into(),
            slots: SlotCount(8),
            connections: 120,
            connect_delay: Interval::from_millis(0),
            time: ServiceTime::Fixed(Interval::from_millis(0)),
            seed: 1,
            cold_start: Interval::from_millis(0),
            restart: None,
            egress: None,
        }
    }
}
