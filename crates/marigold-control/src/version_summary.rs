//! The versions held below a node of the fan-out tree.

use marigold_types::{Address, Version};
use serde::{Deserialize, Serialize};

/// The maximum number of daemons listed in a summary.
pub const MAX_LAGGING_MEMBERS: usize = 32;

/// A daemon with an older version, or the root of a subtree in which no newer one is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LaggingMember {
    /// The daemon.
    pub address: Address,
    /// The version that it reported.
    pub held: Version,
}

/// Counts the daemons in a subtree of the fan-out tree by the version they hold.
///
/// Summaries are aggregated up the tree, in place of an acknowledgement from each daemon to each
/// other one; see docs/design/control.md.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionSummary {
    /// The newest version held in the subtree.
    pub newest: Version,
    /// The number of daemons that hold it.
    pub holders: u32,
    /// The number of daemons counted.
    pub total: u32,
    /// Daemons with an older version, at most [`MAX_LAGGING_MEMBERS`].
    pub behind: Vec<LaggingMember>,
}

impl VersionSummary {
    /// Creates the summary of a single daemon.
    #[must_use]
    pub fn of(version: Version) -> Self {
        Self {
            newest: version,
            holders: 1,
            total: 1,
            behind: Vec::new(),
        }
    }

    /// Adds the summary of the subtree below, and including, the daemon at `address`.
    pub fn add(&mut self, address: Address, below: &Self) {
        self.total += below.total;
        if below.newest == self.newest {
            self.holders += below.holders;
        }
        if below.newest < self.newest {
            let held = below.newest;
            self.push(LaggingMember { address, held });
        }
        for lag in &below.behind {
            self.push(*lag);
        }
    }

    /// Returns whether each counted daemon either holds the newest version or is listed as behind.
    #[must_use]
    pub fn is_exact(&self) -> bool {
        let named = u32::try_from(self.behind.len()).unwrap_or(u32::MAX);
        self.holders.saturating_add(named) >= self.total
    }

    /// Returns the version of the daemon at `address` if it is listed as behind.
    #[must_use]
    pub fn find(&self, address: Address) -> Option<Version> {
        let lag = self.behind.iter().find(|lag| lag.address == address)?;
        Some(lag.held)
    }

    fn push(&mut self, lag: LaggingMember) {
        if self.behind.len() < MAX_LAGGING_MEMBERS {
            self.behind.push(lag);
        }
    }
}
