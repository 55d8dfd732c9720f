//! What a daemon knows of itself.

use marigold_types::{DataCentre, InstanceId, Region, ServiceName, SlotCount};

/// The daemon's own identity and the backend server beside it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocalInstance {
    /// The daemon's own life.
    pub instance: InstanceId,
    /// Its data centre, by its settings.
    pub data_centre: DataCentre,
    /// Its region, by its settings.
    pub region: Region,
    /// The service of its backend server, once that has announced itself.
    pub service: Option<ServiceName>,
    /// The backend server's slots, zero while none has announced itself.
    pub slots: SlotCount,
    /// Whether the backend server answers its health probes.
    pub healthy: bool,
    /// Whether the daemon is leaving.
    pub draining: bool,
}
