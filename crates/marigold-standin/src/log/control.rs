//! Fault injection for the log.

use marigold_types::LogOffset;
use serde::{Deserialize, Serialize};

/// An order to drop the oldest records of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrimOrder {
    /// The name of the stream.
    pub stream: String,
    /// The first offset to keep.
    pub before: LogOffset,
}

/// Changes to the log's injected faults. Absent fields leave the current value in place.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogControl {
    /// Whether the log refuses every request.
    pub down: Option<bool>,
    /// Delay before each request takes effect, in milliseconds.
    pub slow_ms: Option<u64>,
    /// The number of next appends that take effect but whose answer is lost.
    pub lose: Option<u32>,
    /// The maximum number of appends per second; 0 refuses every append.
    pub rate: Option<u64>,
    /// A trim to perform immediately.
    pub trim: Option<TrimOrder>,
}
