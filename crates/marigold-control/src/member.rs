//! Member records.

use marigold_types::{
    Address, DataCentre, Incarnation, InstanceId, Region, ServiceName, SlotCount,
};
use serde::{Deserialize, Serialize};

use crate::LocalInstance;

/// The liveness of a member; within a revision the greater value overrides the smaller one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Liveness {
    /// It responds to probes.
    Alive,
    /// It did not respond; it can refute this with a new revision.
    Suspect,
    /// It was suspected for too long.
    Dead,
}

/// The record of a member, as disseminated by gossip.
///
/// Two records of one address are ordered as in SWIM (Das, Gupta, Motivala, 2002): by incarnation,
/// then by revision, then by liveness, where a worse one overrides a better one.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The instance: address and incarnation.
    pub instance: InstanceId,
    /// Incremented by the daemon with each announcement.
    pub revision: u32,
    /// The liveness; the only field that other daemons change.
    #[serde(rename = "standing")]
    pub liveness: Liveness,
    /// The data centre that it runs in.
    pub data_centre: DataCentre,
    /// The region of its data centre.
    pub region: Region,
    /// The service of its backend server; absent until that has announced itself.
    pub service: Option<ServiceName>,
    /// How many requests the backend server processes concurrently.
    pub slots: SlotCount,
    /// Whether the backend server passes its health probes.
    pub healthy: bool,
    /// Whether it is shutting down.
    pub draining: bool,
    /// The data centres that it cannot reach; always empty unless it is a follower.
    #[serde(rename = "cut")]
    pub unreachable_data_centres: Vec<DataCentre>,
}

impl Member {
    /// Builds the record that this daemon announces.
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

    /// Returns the precedence among records of one address; the greatest wins.
    #[must_use]
    pub fn rank(&self) -> (Incarnation, u32, Liveness) {
        (self.instance.incarnation, self.revision, self.liveness)
    }

    /// Returns a copy of the record with another liveness.
    #[must_use]
    pub fn with_liveness(&self, liveness: Liveness) -> Self {
        Self {
            liveness,
            ..self.clone()
        }
    }
}
