//! What the log takes and keeps.

use marigold_types::{ByteSize, Interval, Rate};

/// The limits of the log's stand-in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogLimits {
    /// The largest record.
    pub record: ByteSize,
    /// How long a record is kept.
    pub retention: Interval,
    /// The most appends a second.
    pub rate: Rate,
    /// The most records in one answer.
    pub batch: usize,
    /// The most bytes of records in one answer.
    pub answer: ByteSize,
    /// The most streams.
    pub streams: usize,
}

impl Default for LogLimits {
    fn default() -> Self {
        Self {
            record: ByteSize(1 << 20),
            retention: Interval::from_millis(7 * 86_400_000),
            rate: Rate(300),
            batch: 1_000,
            answer: ByteSize(4 << 20),
            streams: 64,
        }
    }
}
