//! The border between the connections and what serves requests.

use async_trait::async_trait;

use super::IncomingStream;

/// Serves the streams that other daemons open.
#[async_trait]
pub trait StreamServer: Send + Sync {
    /// Serves one stream to its end; an error cuts it off and is counted as the peer's fault.
    ///
    /// # Errors
    ///
    /// When the peer does not keep to the protocol.
    async fn serve(&self, stream: IncomingStream) -> Result<(), super::codec::FrameError>;
}
