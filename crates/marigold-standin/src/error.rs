//! What can go wrong in a stand-in.

use std::sync::Arc;

/// A failed step of a stand-in, with the peer at which it failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{step} at {peer}: {reason}")]
pub struct StandinError {
    /// What was being done, as "listen".
    pub step: &'static str,
    /// The address, file or process it was done to.
    pub peer: Arc<str>,
    /// Why it failed.
    pub reason: Arc<str>,
}

impl StandinError {
    /// Builds the error of `step` at `peer`.
    pub fn new(step: &'static str, peer: &dyn ToString, reason: &dyn ToString) -> Self {
        Self {
            step,
            peer: Arc::from(peer.to_string()),
            reason: Arc::from(reason.to_string()),
        }
    }
}
