//! The interface between the connections and the request side.

use async_trait::async_trait;

use super::IncomingStream;

/// Serves the streams that other daemons open.
#[async_trait]
pub trait StreamServer: Send + Sync {
    /// Serves one stream to its end. An error resets the stream and is counted as a fault of the
    /// peer.
    ///
    /// # Errors
    ///
    /// If the peer violates the protocol.
    async fn serve(&self, stream: IncomingStream) -> Result<(), super::codec::FrameError>;
}
