//! The last confirmations for operators.

use marigold_config::HistoryEntry;
use marigold_types::Version;
use serde::{Deserialize, Serialize};

/// What became of the last confirmations, the oldest first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryDocument {
    /// The version in force.
    pub version: Version,
    /// Whether the daemon has just read the log to its end.
    pub fresh: bool,
    /// The confirmations.
    pub entries: Vec<HistoryEntry>,
}
