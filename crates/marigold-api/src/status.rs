//! Status of the mesh as seen by one daemon.

use marigold_types::{DataCentre, InstanceId, Region, Version};
use serde::{Deserialize, Serialize};

use crate::DaemonStatus;

/// The status of the mesh as known to the responding daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Instance of the responding daemon.
    pub instance: InstanceId,
    /// Data centre of the responding daemon.
    pub data_centre: DataCentre,
    /// Region of the responding daemon.
    pub region: Region,
    /// Whether the responding daemon accepts requests.
    pub serving: bool,
    /// Whether the responding daemon is draining.
    pub draining: bool,
    /// Latest version known to the responding daemon.
    pub latest: Version,
    /// All daemons not declared dead, including the responding one, ordered by address.
    pub daemons: Vec<DaemonStatus>,
}

impl Status {
    /// Returns whether all daemons in this status have reached `version`.
    #[must_use]
    pub fn all_hold(&self, version: Version) -> bool {
        self.daemons.iter().all(|daemon| daemon.version >= version)
    }

    /// Returns whether all daemons in this status have reached the latest version.
    #[must_use]
    pub fn is_converged(&self) -> bool {
        self.all_hold(self.latest)
    }

    /// Returns the number of daemons that have reached `version`.
    #[must_use]
    pub fn count_holding(&self, version: Version) -> usize {
        let holding = self
            .daemons
            .iter()
            .filter(|daemon| daemon.version >= version);
        holding.count()
    }
}
