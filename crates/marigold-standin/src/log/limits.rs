//! Limits of the log.

use marigold_types::{ByteSize, Interval, Rate};

/// The limits of the stand-in for the platform log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogLimits {
    /// The maximum size of a record.
    pub max_record: ByteSize,
    /// The age after which a record is dropped.
    pub retention: Interval,
    /// The maximum number of appends per second.
    pub rate: Rate,
    /// The maximum number of records that one read returns.
    pub max_read_records: usize,
    /// The maximum total size of the records that one read returns; a first record is returned even if it
    /// is larger.
    pub max_read_bytes: ByteSize,
    /// The maximum number of streams.
    pub max_streams: usize,
}

impl Default for LogLimits {
    fn default() -> Self {
        Self {
            max_record: ByteSize(1 << 20),
            retention: Interval::from_millis(7 * 86_400_000),
            rate: Rate(300),
            max_read_records: 1_000,
            max_read_bytes: ByteSize(4 << 20),
            max_streams: 64,
        }
    }
}
