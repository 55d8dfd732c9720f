//! Tells one daemon to leave.

use marigold_types::InstanceId;
use serde::{Deserialize, Serialize};

/// Names the life of the daemon that is to leave, so that a copy of the request drains no other
/// daemon and no later life of this one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainRequest {
    /// The daemon.
    pub instance: InstanceId,
}
