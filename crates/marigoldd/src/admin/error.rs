//! What can go wrong on the operators' side.

use std::net::SocketAddr;
use std::sync::Arc;

use marigold_api::{Problem, ProblemKind};
use marigold_config::Reason;
use marigold_log::LogError;

/// The server could not be started.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("listen for operators at {address}: {reason}")]
pub struct AdminError {
    /// The address that was asked for.
    pub address: SocketAddr,
    /// Why it could not be used.
    pub reason: Arc<str>,
}

/// A request over the platform's log that came to nothing; it has written nothing.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SessionError {
    /// The log could not be read or written in time.
    #[error("{step}: {error}; nothing was written, so running it again is safe")]
    Log {
        /// What was being done.
        step: &'static str,
        /// How the last attempt failed.
        error: LogError,
    },
    /// The log answered, but never with what was asked for.
    #[error("{step}: the log did not come to an answer in time; nothing was written")]
    Slow {
        /// What was being done.
        step: &'static str,
    },
    /// The log has lost its records, and no daemon has restored them yet.
    #[error(
        "the log holds no base for its records; the followers restore it from the configuration \
        held, run it again in a minute"
    )]
    Lost,
    /// The plan is not stored, or no longer.
    #[error("no such plan waits for a confirmation; it may have expired, so plan again")]
    NoPlan,
    /// The plan or confirmation would be rejected.
    #[error("{0}")]
    Rejected(Reason),
}

impl From<&SessionError> for Problem {
    fn from(error: &SessionError) -> Self {
        let kind = match error {
            SessionError::Log { .. } | SessionError::Slow { .. } | SessionError::Lost => {
                ProblemKind::LogUnavailable
            }
            SessionError::NoPlan => ProblemKind::NotFound,
            SessionError::Rejected(_) => ProblemKind::Refused,
        };
        Self::new(kind, error.to_string())
    }
}
