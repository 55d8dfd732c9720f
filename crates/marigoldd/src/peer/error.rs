//! Errors of connections between daemons.

use std::sync::Arc;

use marigold_types::Address;

/// A failed operation on the connection to another daemon.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{step} at daemon {peer}: {reason}")]
pub struct PeerError {
    /// The step that failed, such as "connect" or "send".
    pub step: &'static str,
    /// The other daemon.
    pub peer: Address,
    /// The cause.
    pub reason: Arc<str>,
    /// Whether any data may have reached the other daemon.
    pub sent: bool,
}
