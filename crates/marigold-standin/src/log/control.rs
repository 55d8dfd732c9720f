//! How a test tells the log to fail.

use marigold_types::LogOffset;
use serde::{Deserialize, Serialize};

/// Trims the start of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrimOrder {
    /// The stream.
    pub stream: String,
    /// The first offset that is kept.
    pub before: LogOffset,
}

/// A change of the log's faults; what is absent stays as it is.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogControl {
    /// Whether every request is refused.
    pub down: Option<bool>,
    /// Milliseconds that pass before each request takes effect.
    pub slow_ms: Option<u64>,
    /// How many of the next appends take effect without an answer.
    pub lose: Option<u32>,
    /// The most appends a second.
    pub rate: Option<u64>,
    /// A trim to be made now.
    pub trim: Option<TrimOrder>,
}
