//! The recorded status of a roll-out.

use marigold_types::LogOffset;
use serde::{Deserialize, Serialize};

use super::{RolloutOrder, RolloutState};
use crate::ServerVersion;

/// The status of a roll-out as recorded in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// The state.
    pub state: RolloutState,
    /// The version that is rolled out.
    pub target: ServerVersion,
    /// The order that it belongs to, or `None` if its writer did not say.
    pub order: Option<LogOffset>,
    /// When the roll-out began, in Unix milliseconds. Tells a daemon that starts meanwhile the deadline.
    pub began_ms: Option<u64>,
}

impl RolloutStatus {
    /// Returns whether this is the status of `order`.
    #[must_use]
    pub fn is_of(&self, order: &RolloutOrder) -> bool {
        self.target == order.target && self.order.is_none_or(|id| id == order.id)
    }
}
