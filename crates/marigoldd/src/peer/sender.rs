//! The border between the control loop and the network.

use async_trait::async_trait;
use marigold_types::Address;

use super::PeerError;

/// Sends control messages; what comes in arrives as events.
#[async_trait]
pub trait PeerSender: Send + Sync {
    /// Sends `message` of the given `kind`, opening a connection when there is none.
    ///
    /// # Errors
    ///
    /// When the daemon cannot be reached; the message may be lost without an error, too.
    async fn send(
        &self,
        to: Address,
        kind: &'static str,
        message: Vec<u8>,
    ) -> Result<(), PeerError>;
}
