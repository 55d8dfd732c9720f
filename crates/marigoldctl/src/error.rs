//! What can go wrong with a command.

use std::path::PathBuf;
use std::sync::Arc;

use marigold_api::{Problem, ProblemKind};
use marigold_auth::AuthError;
use marigold_ini::Faults;

use crate::DaemonUrl;

/// One daemon that gave no answer of the expected kind.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ServerFault {
    /// The daemon was not reached, so it has done nothing.
    #[error("connect to daemon {peer}: {reason}")]
    Unreachable {
        /// The daemon.
        peer: DaemonUrl,
        /// Why.
        reason: Arc<str>,
    },
    /// The daemon was reached, and its answer did not come whole.
    #[error("wait for daemon {peer}: {reason}")]
    Unclear {
        /// The daemon.
        peer: DaemonUrl,
        /// Why.
        reason: Arc<str>,
    },
    /// The daemon answered with a problem.
    #[error("daemon {peer}: {problem}")]
    Problem {
        /// The daemon.
        peer: DaemonUrl,
        /// The problem.
        problem: Problem,
    },
}

impl ServerFault {
    /// Returns whether another daemon may do better.
    #[must_use]
    pub fn is_passing(&self) -> bool {
        match self {
            Self::Unreachable { .. } | Self::Unclear { .. } => true,
            Self::Problem { problem, .. } => {
                matches!(
                    problem.kind,
                    ProblemKind::LogUnavailable | ProblemKind::Busy
                )
            }
        }
    }
}

/// A command that could not run to its end.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CtlError {
    /// A file has mistakes.
    #[error("{0}")]
    Faults(Faults),
    /// A file could not be read or written.
    #[error("{step} {}: {reason}", path.display())]
    File {
        /// What was being done, as "read".
        step: &'static str,
        /// The file.
        path: PathBuf,
        /// Why.
        reason: Arc<str>,
    },
    /// A key or certificate is wrong.
    #[error("{}: {error}", path.display())]
    Key {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        error: AuthError,
    },
    /// An argument is missing.
    #[error("{0}")]
    Usage(&'static str),
    /// No daemon gave an answer; the last one's fault is told.
    #[error("{fault}{}{}", display_asked(*.asked), display_unclear(*.unclear))]
    Servers {
        /// How the last daemon failed.
        fault: ServerFault,
        /// How many were asked.
        asked: usize,
        /// Whether one of them may have done what was asked.
        unclear: bool,
    },
    /// The log cannot be read, so the base of a plan is not known for certain.
    #[error("the platform's log cannot be read, so a plan's base is not certain; run it again")]
    StaleBase,
}

impl CtlError {
    /// Returns the exit code.
    #[must_use]
    pub fn code(&self) -> u8 {
        match self {
            Self::Faults(_) | Self::File { .. } | Self::Key { .. } | Self::Usage(_) => 2,
            Self::Servers { unclear: true, .. } => 4,
            Self::Servers { fault, .. } => match fault {
                ServerFault::Problem { problem, .. } => match problem.kind {
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

fn display_asked(asked: usize) -> String {
    if asked > 1 {
        format!(" (the last of {asked} daemons)")
    } else {
        String::new()
    }
}

fn display_unclear(unclear: bool) -> &'static str {
    if unclear {
        "; it is not yet known whether it took effect: run the same command again, which is safe"
    } else {
        ""
    }
}
