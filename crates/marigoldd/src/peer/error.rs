//! What can go wrong between two daemons.

use std::sync::Arc;

use marigold_types::Address;

/// A failed step towards another daemon.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{step} at daemon {peer}: {reason}")]
pub struct PeerError {
    /// What was being done, as "connect" or "send".
    pub step: &'static str,
    /// The other daemon.
    pub peer: Address,
    /// Why it failed.
    pub reason: Arc<str>,
    /// Whether anything may have reached the other daemon.
    pub sent: bool,
}
