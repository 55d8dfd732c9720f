//! One record as the log gives it back.

use marigold_types::{LogOffset, RecordTime};
use serde::{Deserialize, Serialize};

/// A record with the place and time that the log gave it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRecord {
    /// Its position in the stream.
    pub offset: LogOffset,
    /// When the log took it, by the log's clock.
    pub time: RecordTime,
    /// What was appended, a text without line breaks.
    pub data: String,
}
