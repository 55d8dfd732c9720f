//! Identifiers of instances.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{Address, Incarnation};

/// Identifies an instance, one life of the daemon at an address. A restart creates a new instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct InstanceId {
    /// Address of the daemon.
    pub address: Address,
    /// Incarnation at the start of the daemon; refutations do not change it.
    pub incarnation: Incarnation,
}

impl fmt::Display for InstanceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.address, self.incarnation)
    }
}
