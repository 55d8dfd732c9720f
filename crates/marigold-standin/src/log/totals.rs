//! Counters of the log.

use serde::{Deserialize, Serialize};

/// The counters since the log was created.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogTotals {
    /// Records appended.
    pub appends: u64,
    /// Successful reads.
    pub reads: u64,
    /// Bytes of records appended.
    pub bytes_in: u64,
    /// Bytes of records read.
    pub bytes_out: u64,
    /// Requests refused because of the rate limit or because the log was down.
    pub refused: u64,
    /// Appends that took effect but whose answer was lost.
    pub lost_answers: u64,
}
