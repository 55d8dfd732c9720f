//! What the log has done so far.

use serde::{Deserialize, Serialize};

/// The log's counters since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogTotals {
    /// Records appended.
    pub appends: u64,
    /// Reads answered.
    pub reads: u64,
    /// Bytes of records taken.
    pub bytes_in: u64,
    /// Bytes of records given out.
    pub bytes_out: u64,
    /// Requests refused for the rate or because the log was down.
    pub refused: u64,
    /// Answers lost after their write took effect.
    pub lost_answers: u64,
}
