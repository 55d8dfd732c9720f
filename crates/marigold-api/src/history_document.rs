//! The history of confirmations as returned to operators.

use marigold_config::HistoryEntry;
use marigold_types::Version;
use serde::{Deserialize, Serialize};

/// The results of the most recent confirmations.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryDocument {
    /// Version in force.
    pub version: Version,
    /// Whether the daemon read the log to its end for this response.
    pub fresh: bool,
    /// Confirmations, oldest first.
    pub entries: Vec<HistoryEntry>,
}
