//! The interface between the control loop and the network.

use async_trait::async_trait;
use marigold_types::Address;

use super::PeerError;

/// Sends control messages. Received messages are delivered as events.
#[async_trait]
pub trait PeerSender: Send + Sync {
    /// Sends `message`, opening a connection if there is none. `kind` is used only in counters.
    ///
    /// # Errors
    ///
    /// If the message cannot be queued. A queued message may still be lost.
    async fn send(
        &self,
        to: Address,
        kind: &'static str,
        message: Vec<u8>,
    ) -> Result<(), PeerError>;
}
