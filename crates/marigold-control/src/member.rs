//! What a daemon announces of itself.

use marigold_types::{
    Address, DataCentre, Incarnation, InstanceId, Region, ServiceName, SlotCount,
};
use serde::{Deserialize, Serialize};

use crate::LocalInstance;

/// What is held of a member, in the order in which one overrides the other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Liveness {
    /// It answers.
    Alive,
    /// It was silent; it may refute this.
    Suspect,
    /// It was silent for too long.
    Dead,
}

/// One member as gossip carries it.
///
/// The order of two records of one address is SWIM's (Das, Gupta, Motivala, 2002): a later life
/// first, within a life the later revision, within a revision the worse standing.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The daemon's life.
    pub instance: InstanceId,
    /// Grows with each announcement that the daemon makes of itself.
    pub revision: u32,
    /// What is held of it; only this part is written by others.
    #[serde(rename = "standing")]
    pub liveness: Liveness,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The region of its data centre.
    pub region: Region,
    /// The service of its backend server, once that has announced itself.
    pub service: Option<ServiceName>,
    /// The backend server's slots.
    pub slots: SlotCount,
    /// Whether the backend server answers its health probes.
    pub healthy: bool,
    /// Whether it is leaving.
    pub draining: bool,
    /// The data centres that it cannot reach, while it follows the log for its own.
    #[serde(rename = "cut")]
    pub unreachable_data_centres: Vec<DataCentre>,
}

impl Member {
    /// Builds the record that `local` announces.
    #[must_use]
    pub fn announce(local: &LocalInstance, revision: u32) -> Self {
        Self {
            instance: local.instance,
            revision,
            liveness: Liveness::Alive,
            data_centre: local.data_centre.clone(),
            region: local.region.clone(),
            service: local.service.clone(),
            slots: local.slots,
            healthy: local.healthy,
            draining: local.draining,
            unreachable_data_centres: Vec::new(),
        }
    }

    /// Returns the address of the daemon.
    #[must_use]
    pub fn address(&self) -> Address {
        self.instance.address
    }

    /// Returns what decides between two records of one address; the greater one holds.
    #[must_use]
    pub fn rank(&self) -> (Incarnation, u32, Liveness) {
        (self.instance.incarnation, self.revision, self.liveness)
    }

    /// Returns the record with another standing.
    #[must_use]
    pub fn with_liveness(&self, liveness: Liveness) -> Self {
        Self {
            liveness,
            ..self.clone()
        }
    }
}
