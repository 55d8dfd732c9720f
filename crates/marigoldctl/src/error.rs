//! Errors of commands and their exit codes.

use std::path::PathBuf;
use std::sync::Arc;

use marigold_api::{Problem, ProblemKind};
use marigold_auth::AuthError;
use marigold_ini::Faults;

use crate::DaemonUrl;

/// Why a request to one daemon failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DaemonError {
    /// No connection was made, so the daemon has done nothing.
    #[error("connect to daemon {peer}: {reason}")]
    Unreachable {
        /// The daemon that was asked.
        peer: DaemonUrl,
        /// The cause, as the system or the HTTP client reports it.
        reason: Arc<str>,
    },
    /// A request may have reached the daemon, but no complete, valid response came back.
    #[error("no valid response from daemon {peer}: {reason}")]
    NoValidResponse {
        /// The daemon that was asked.
        peer: DaemonUrl,
        /// The cause, as the system or the HTTP client reports it.
        reason: Arc<str>,
    },
    /// The daemon answered with an error.
    #[error("daemon {peer}: {problem}")]
    Problem {
        /// The daemon that was asked.
        peer: DaemonUrl,
        /// The daemon's error response.
        problem: Problem,
    },
}

impl DaemonError {
    /// Returns whether the same request may succeed at another daemon.
    #[must_use]
    pub fn is_retryable(&self) -> bool {
        match self {
            Self::Unreachable { .. } | Self::NoValidResponse { .. } => true,
            Self::Problem { problem, .. } => {
                matches!(
                    problem.kind,
                    ProblemKind::LogUnavailable | ProblemKind::Busy
                )
            }
        }
    }
}

/// Why a command failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CtlError {
    /// An intent or settings file is invalid.
    #[error("{0}")]
    Faults(Faults),
    /// A file could not be read or written.
    #[error("{operation} {}: {reason}", path.display())]
    File {
        /// The operation, as a verb such as "read".
        operation: &'static str,
        /// The file.
        path: PathBuf,
        /// The cause, as the system or the HTTP client reports it.
        reason: Arc<str>,
    },
    /// A key or certificate is invalid or could not be made.
    #[error("{}: {error}", path.display())]
    Key {
        /// The file.
        path: PathBuf,
        /// What is wrong with the key or certificate.
        error: AuthError,
    },
    /// A required argument is missing, or a value cannot be encoded.
    #[error("{0}")]
    Usage(&'static str),
    /// No daemon completed the request; `fault` is that of the last one tried.
    #[error("{fault}{}{}", display_tried(*.tried), display_may_be_applied(*.may_be_applied))]
    Request {
        /// The error of the last daemon tried.
        fault: DaemonError,
        /// The number of daemons tried.
        tried: usize,
        /// Whether one of them may have carried out the request.
        may_be_applied: bool,
    },
    /// The platform's log cannot be read, so the daemon's configuration may be out of date and
    /// cannot be the base of a plan.
    #[error(
        "the platform's log cannot be read, so the plan's base version is not certain; run the \
         command again"
    )]
    StaleBase,
}

impl CtlError {
    /// Returns the exit code, as listed in docs/COMMANDS.md.
    #[must_use]
    pub fn code(&self) -> u8 {
        match self {
            Self::Faults(_) | Self::File { .. } | Self::Key { .. } | Self::Usage(_) => 2,
            Self::Request {
                may_be_applied: true,
                ..
            } => 4,
            Self::Request { fault, .. } => match fault {
                DaemonError::Problem { problem, .. } => match problem.kind {
                    ProblemKind::BadRequest | ProblemKind::NotFound => 2,
                    ProblemKind::Unauthorised | ProblemKind::Refused => 1,
                    ProblemKind::LogUnavailable | ProblemKind::Busy => 3,
                },
                _ => 3,
            },
            Self::StaleBase => 3,
        }
    }
}

fn display_tried(tried: usize) -> String {
    if tried > 1 {
        format!(" (the last of {tried} daemons)")
    } else {
        String::new()
    }
}

fn display_may_be_applied(may_be_applied: bool) -> &'static str {
    if may_be_applied {
        "; it is not yet known whether it took effect: run the same command again, which is safe"
    } else {
        ""
    }
}
