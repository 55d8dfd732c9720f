//! The order of an operator to roll out a version.

use std::time::Duration;

use marigold_types::{LogOffset, ServiceName};
use serde::{Deserialize, Serialize};

use crate::ServerVersion;

/// An order to move the traffic of a service to backend servers of another version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// The offset of the order in its table. Tells apart orders of the same content.
    pub id: LogOffset,
    /// The service.
    pub service: ServiceName,
    /// The version that is to take over.
    pub target: ServerVersion,
    /// The time within which the roll-out has to be decided.
    pub duration: Duration,
}

impl RolloutOrder {
    /// Returns whether the orders are the same but for their ids.
    #[must_use]
    pub fn has_terms_of(&self, other: &Self) -> bool {
        (&self.service, &self.target, self.duration)
            == (&other.service, &other.target, other.duration)
    }
}
