//! What operators declare of a service-level objective.

use marigold_types::Interval;
use serde::{Deserialize, Serialize};

/// The share of good calls that a service owes over a window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Objective {
    /// The calls, out of a million, that must be answered.
    pub availability: u32,
    /// The calls, out of a million, that must be answered within `latency`.
    pub fast: u32,
    /// The time within which a call counts as fast.
    pub latency: Interval,
    /// The time that the objective is held over.
    pub window: Interval,
}
