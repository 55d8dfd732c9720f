//! Backend servers as seen by the request path.

use marigold_types::{DataCentre, InstanceId, Region, ServiceName, SlotCount};
use tokio::time::Instant;

/// Whether requests are routed to a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EndpointState {
    /// It accepts requests.
    Ready,
    /// It stopped responding, but not for long enough to be removed.
    Suspect,
    /// It is shutting down and accepts no new requests.
    Draining,
}

/// A backend server and the daemon next to it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// The daemon in front of the backend server, the only one that sends requests to it.
    pub instance: InstanceId,
    /// The service that it provides.
    pub service: ServiceName,
    /// The data centre that it runs in.
    pub data_centre: DataCentre,
    /// The region of its data centre.
    pub region: Region,
    /// How many requests it processes concurrently.
    pub slots: SlotCount,
    /// Whether requests are routed to it.
    pub state: EndpointState,
    /// When this daemon first saw this instance; its load is ramped up after a cold start.
    pub since: Instant,
}
