//! Records as returned by the log.

use marigold_types::{LogOffset, RecordTime};
use serde::{Deserialize, Serialize};

/// A record with the offset and time assigned by the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRecord {
    /// Offset in the stream.
    pub offset: LogOffset,
    /// Time of the append by the log's clock.
    pub time: RecordTime,
    /// Content, a text without line breaks.
    pub data: String,
}
