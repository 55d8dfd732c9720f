//! The counts of a backend server as evidence on its version.

use marigold_types::ServiceName;
use serde::{Deserialize, Serialize};

use super::KindCounts;
use crate::ServerVersion;

/// The counts of one backend server. They only grow while it runs, so that a lost message loses no evidence.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionCounts {
    /// The service that it implements.
    pub service: ServiceName,
    /// The version of its software.
    pub version: ServerVersion,
    /// Differs between instances, and between runs of the daemon beside it.
    pub instance: u64,
    /// The counts of each kind.
    pub kinds: Vec<KindCounts>,
}
