//! What can go wrong between a daemon and the platform's log.

use std::sync::Arc;

use marigold_types::LogOffset;

/// A failed request to the log, with the step and the peer at which it failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{step} at the platform log {peer}: {failure}")]
pub struct LogError {
    /// What was being done, as "append" or "read".
    pub step: &'static str,
    /// The log's address.
    pub peer: Arc<str>,
    /// How it failed.
    pub failure: LogFailure,
}

/// How a request to the log failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum LogFailure {
    /// The request certainly had no effect.
    #[error("unavailable ({reason}), nothing was written")]
    Unavailable {
        /// The cause in words.
        reason: Arc<str>,
    },
    /// An append may have taken effect; only reading tells.
    #[error("no answer ({reason}), the record may have been written")]
    Unknown {
        /// The cause in words.
        reason: Arc<str>,
    },
    /// The records asked for are trimmed.
    #[error("records before offset {earliest} are trimmed")]
    Trimmed {
        /// The first offset that the log still has.
        earliest: LogOffset,
    },
    /// The log refused the request as malformed or too large.
    #[error("refused: {reason}")]
    Refused {
        /// The log's reason.
        reason: Arc<str>,
    },
}
