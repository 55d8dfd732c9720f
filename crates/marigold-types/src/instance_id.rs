//! Names one life of one daemon.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{Address, Incarnation};

/// One life of the daemon at an address; a restart is another instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct InstanceId {
    /// Where the daemon listens for its peers.
    pub address: Address,
    /// Which start of the daemon it is: the start's number, never a refutation's.
    pub incarnation: Incarnation,
}

impl fmt::Display for InstanceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.address, self.incarnation)
    }
}
