//! The state of the mesh as one daemon sees it.

use marigold_types::{DataCentre, InstanceId, Region, Version};
use serde::{Deserialize, Serialize};

use crate::DaemonStatus;

/// Who holds which version, by what the answering daemon knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The answering daemon.
    pub instance: InstanceId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its region.
    pub region: Region,
    /// Whether it serves.
    pub serving: bool,
    /// Whether it is leaving.
    pub draining: bool,
    /// The latest version that it knows of.
    pub latest: Version,
    /// Every daemon that it knows, itself included, in the order of their addresses.
    pub daemons: Vec<DaemonStatus>,
}

impl Status {
    /// Returns whether every daemon holds at least `version`.
    #[must_use]
    pub fn all_hold(&self, version: Version) -> bool {
        self.daemons.iter().all(|row| row.version >= version)
    }

    /// Returns whether every daemon holds the latest version.
    #[must_use]
    pub fn is_converged(&self) -> bool {
        self.all_hold(self.latest)
    }

    /// Returns how many daemons hold at least `version`.
    #[must_use]
    pub fn count_holding(&self, version: Version) -> usize {
        let holding = self.daemons.iter().filter(|row| row.version >= version);
        holding.count()
    }
}
