//! What a backend server's stand-in is started with.

use std::net::SocketAddr;

use marigold_types::{Interval, ServiceName, SlotCount};

use super::ServiceTime;

/// The settings of one stand-in.
#[derive(Debug, Clone)]
pub struct BackendPlan {
    /// The service that it runs.
    pub service: ServiceName,
    /// Where it takes requests.
    pub listen: SocketAddr,
    /// Requests that it runs at once.
    pub slots: SlotCount,
    /// Connections that it accepts.
    pub connections: u32,
    /// What a new connection costs before its first request is read.
    pub connect_delay: Interval,
    /// How long a request runs.
    pub time: ServiceTime,
    /// The seed of the times drawn.
    pub seed: u64,
    /// How long after its start it refuses work.
    pub cold_start: Interval,
    /// How long after a crash it starts again; never when absent.
    pub restart: Option<Interval>,
    /// The callers' side of a daemon, for requests that call on.
    pub egress: Option<SocketAddr>,
}

impl BackendPlan {
    /// Plans a stand-in of `service` on a free port of the loopback.
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
