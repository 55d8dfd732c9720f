//! The error type of the stand-ins.

use std::sync::Arc;

/// An operation of a stand-in failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{step} at {peer}: {reason}")]
pub struct StandinError {
    /// The operation, such as "listen".
    pub step: &'static str,
    /// The address, file or process that the operation was for.
    pub peer: Arc<str>,
    /// The cause of the failure.
    pub reason: Arc<str>,
}

impl StandinError {
    /// Creates the error for `step` at `peer`.
    pub fn new(step: &'static str, peer: &dyn ToString, reason: &dyn ToString) -> Self {
        Self {
            step,
            peer: Arc::from(peer.to_string()),
            reason: Arc::from(reason.to_string()),
        }
    }
}
