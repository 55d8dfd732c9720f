//! Errors of requests to the platform's log.

use std::sync::Arc;

use marigold_types::LogOffset;

use crate::StoreEra;

/// A failed request to the log.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{step} at the platform log {peer}: {failure}")]
pub struct LogError {
    /// The operation, such as "append" or "read".
    pub step: &'static str,
    /// Address of the log.
    pub peer: Arc<str>,
    /// The kind of failure.
    pub failure: LogFailure,
}

impl LogError {
    /// Returns whether the position of a reader is of no use any more, so that it has to read the whole table.
    #[must_use]
    pub fn invalidates_position(&self) -> bool {
        matches!(
            self.failure,
            LogFailure::Trimmed { .. } | LogFailure::Replaced { .. }
        )
    }
}

/// The kind of failure of a request to the log, by its effect on the log.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum LogFailure {
    /// The request had no effect.
    #[error("unavailable ({reason}), nothing was written")]
    Unavailable {
        /// Description of the cause.
        reason: Arc<str>,
    },
    /// An append may have taken effect, which only a later read can determine.
    #[error("no answer ({reason}), the record may have been written")]
    Unknown {
        /// Description of the cause.
        reason: Arc<str>,
    },
    /// The requested records have been trimmed.
    #[error("records before offset {earliest} are trimmed")]
    Trimmed {
        /// Lowest offset that the log still stores.
        earliest: LogOffset,
    },
    /// The store has come back from an older copy, so that positions of its earlier history mean nothing. A conditional write
    /// may have taken effect.
    #[error("the store came back from a copy, with history {era}")]
    Replaced {
        /// The present history.
        era: StoreEra,
    },
    /// The log rejected the request as malformed or too large.
    #[error("refused: {reason}")]
    Refused {
        /// Reason given by the log.
        reason: Arc<str>,
    },
}
