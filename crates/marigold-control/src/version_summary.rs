//! Who holds which version below one node of the fan-out tree.

use marigold_types::{Address, Version};
use serde::{Deserialize, Serialize};

/// The most daemons that a summary names.
pub const MAX_LAGGING_MEMBERS: usize = 32;

/// A daemon, or a daemon with those below it, that holds an older version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LaggingMember {
    /// The daemon.
    pub address: Address,
    /// The version that it said it holds.
    pub held: Version,
}

/// Counts the daemons at and below one node of the fan-out tree by the version they hold.
///
/// It goes up the tree in place of an acknowledgement from each daemon to each other; see
/// docs/design/control.md.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionSummary {
    /// The newest version that is held.
    pub newest: Version,
    /// How many daemons hold it.
    pub holders: u32,
    /// How many daemons are counted.
    pub total: u32,
    /// Those that hold an older one, at most [`MAX_BEHIND`] of them.
    pub behind: Vec<LaggingMember>,
}

impl VersionSummary {
    /// Counts one daemon.
    #[must_use]
    pub fn of(version: Version) -> Self {
        Self {
            newest: version,
            holders: 1,
            total: 1,
            behind: Vec::new(),
        }
    }

    /// Adds what the daemon at `address` said of itself and those below it.
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

    /// Returns whether everyone counted either holds the newest version or is named.
    #[must_use]
    pub fn is_exact(&self) -> bool {
        let named = u32::try_from(self.behind.len()).unwrap_or(u32::MAX);
        self.holders.saturating_add(named) >= self.total
    }

    /// Returns the version that the daemon at `address` is named with as behind.
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
