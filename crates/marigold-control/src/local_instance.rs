//! The identity and the state of this daemon.

use marigold_types::{DataCentre, InstanceId, Region, ServiceName, SlotCount};

/// This daemon and the backend server next to it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocalInstance {
    /// The instance: address and incarnation.
    pub instance: InstanceId,
    /// Its data centre, from the settings.
    pub data_centre: DataCentre,
    /// Its region, from the settings.
    pub region: Region,
    /// The service of the backend server; absent until that has announced itself.
    pub service: Option<ServiceName>,
    /// How many requests the backend server processes concurrently; zero until it has announced
    /// itself.
    pub slots: SlotCount,
    /// Whether the backend server passes its health probes.
    pub healthy: bool,
    /// Whether the daemon is shutting down.
    pub draining: bool,
}
