//! Requests to drain a daemon.

use marigold_types::InstanceId;
use serde::{Deserialize, Serialize};

/// A request to shut a daemon down gracefully.
///
/// It names the instance, so that a replayed request drains neither another daemon nor a later
/// instance at the same address.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainRequest {
    /// Instance to drain.
    pub instance: InstanceId,
}
