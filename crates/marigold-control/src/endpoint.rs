//! A backend server as the request path sees it.

use marigold_types::{DataCentre, InstanceId, Region, ServiceName, SlotCount};
use tokio::time::Instant;

/// Whether a backend server is given work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EndpointState {
    /// It takes work.
    Ready,
    /// Signals from it are missing, but not for long enough to give it up.
    Suspect,
    /// It is leaving and takes no new work.
    Draining,
}

/// A backend server with the daemon beside it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// The daemon that alone runs requests on the backend server.
    pub instance: InstanceId,
    /// The service it runs.
    pub service: ServiceName,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// The region of its data centre.
    pub region: Region,
    /// How many requests it runs at once.
    pub slots: SlotCount,
    /// Whether it is given work.
    pub state: EndpointState,
    /// When this daemon first saw this life of it, for the ramp after a cold start.
    pub since: Instant,
}
