//! Both directions of a QUIC stream that carries one request.

use std::sync::{Arc, OnceLock};

use bytes::Bytes;
use marigold_types::Address;
use quinn::{SendStream, VarInt};

use super::PeerLink;
use super::codec::Frames;
use super::registry::StreamGuard;

/// The reset code of a truncated body. A stream that ends without a reset carries the complete
/// body.
pub const RESET_TRUNCATED: VarInt = VarInt::from_u32(1);

/// The sending direction, which is reset on drop unless it is finished.
///
/// `quinn` finishes a dropped stream, which would make a truncated body look complete.
pub struct CallSend {
    stream: SendStream,
    finished: bool,
}

impl CallSend {
    pub(super) fn new(stream: SendStream) -> Self {
        Self {
            stream,
            finished: false,
        }
    }

    /// Sends `bytes`, waiting for flow control.
    ///
    /// # Errors
    ///
    /// If the peer has stopped reading or the connection is lost.
    pub async fn write(&mut self, bytes: Bytes) -> Result<(), quinn::WriteError> {
        self.stream.write_chunk(bytes).await
    }

    /// Marks the end of the data.
    pub fn finish(&mut self) {
        self.finished = self.stream.finish().is_ok();
    }

    /// Waits until the peer has acknowledged all data or has stopped reading.
    pub async fn stopped(&self) {
        // A lost connection also means that the peer no longer reads.
        let _ = self.stream.stopped().await;
    }
}

impl Drop for CallSend {
    fn drop(&mut self) {
        if !self.finished {
            // It fails only if the stream is already closed.
            let _ = self.stream.reset(RESET_TRUNCATED);
        }
    }
}

/// The stream of a request at the daemon that opened it.
pub struct CallStream {
    /// Sends to the executor.
    pub send: CallSend,
    /// Receives from the executor.
    pub frames: Frames,
    /// The connection of the stream, to detect that it is silent.
    pub link: PeerLink,
    /// Protects the connection from eviction.
    pub guard: StreamGuard,
}

/// The stream of a request at the daemon that accepted it.
pub struct IncomingStream {
    /// Sends to the daemon that opened it.
    pub send: CallSend,
    /// Receives from that daemon; the first frame is a
    /// [`StreamOpen`](marigold_request::StreamOpen).
    pub frames: Frames,
    /// Protects the connection from eviction.
    pub guard: StreamGuard,
    /// The daemon that opened it; unset until its greeting has arrived and matches its certificate.
    pub from: Arc<OnceLock<Address>>,
}
