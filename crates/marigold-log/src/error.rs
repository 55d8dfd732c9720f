//! Errors of requests to the platform's log.

use std::sync::Arc;

use marigold_types::LogOffset;

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
    /// The log rejected the request as malformed or too large.
    #[error("refused: {reason}")]
    Refused {
        /// Reason given by the log.
        reason: Arc<str>,
    },
}
