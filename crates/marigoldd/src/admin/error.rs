//! Errors of the admin server.

use std::net::SocketAddr;
use std::sync::Arc;

use marigold_api::{Problem, ProblemKind};
use marigold_config::Reason;
use marigold_log::LogError;

/// The admin server could not be started.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("listen for operators at {address}: {reason}")]
pub struct AdminError {
    /// The address from the settings.
    pub address: SocketAddr,
    /// The error text of the operating system or the HTTP server.
    pub reason: Arc<str>,
}

/// A failed request to the platform's log; nothing was written.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SessionError {
    /// The log could not be read or written before the deadline.
    #[error("{step}: {error}; nothing was written, so it is safe to retry")]
    Log {
        /// The operation that failed.
        step: &'static str,
        /// The error of the last attempt.
        error: LogError,
    },
    /// The deadline passed without an error of the log: reads made no progress, or other requests
    /// kept the reader locked.
    #[error("{step}: timed out before the log was read to its end; nothing was written")]
    Timeout {
        /// The operation that timed out.
        step: &'static str,
    },
    /// The log was trimmed and has no checkpoint, and no daemon has restored one yet.
    #[error(
        "the log has no checkpoint for its records; the followers restore it from the \
        configuration they hold, try again in a minute"
    )]
    MissingBase,
    /// The plan was never stored or has expired.
    #[error("no plan with this ID awaits confirmation; it may have expired, so plan again")]
    UnknownPlan,
    /// The plan or confirmation would be rejected by every reader of the log.
    #[error("{0}")]
    Rejected(Reason),
}

impl From<&SessionError> for Problem {
    fn from(error: &SessionError) -> Self {
        let kind = match error {
            SessionError::Log { .. } | SessionError::Timeout { .. } | SessionError::MissingBase => {
                ProblemKind::LogUnavailable
            }
            SessionError::UnknownPlan => ProblemKind::NotFound,
            SessionError::Rejected(_) => ProblemKind::Refused,
        };
        Self::new(kind, error.to_string())
    }
}
