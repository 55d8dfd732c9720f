//! Service-level objectives.

use marigold_types::Interval;
use serde::{Deserialize, Serialize};

/// The proportion of successful and of fast calls that a service must reach over a time window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Objective {
    /// The required number of answered calls, per million.
    pub availability: u32,
    /// The required number of calls answered within `latency`, per million.
    pub fast: u32,
    /// The longest duration of a fast call.
    pub latency: Interval,
    /// The period over which calls are counted.
    pub window: Interval,
}
