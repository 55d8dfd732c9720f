//! The two directions of one request between two daemons.

use std::sync::{Arc, OnceLock};

use bytes::Bytes;
use marigold_types::Address;
use quinn::{SendStream, VarInt};

use super::PeerLink;
use super::codec::Frames;
use super::registry::StreamGuard;

/// The code of a body that is cut off; an end without it means that the body is whole.
pub const RESET_TRUNCATED: VarInt = VarInt::from_u32(1);

/// The sending direction, which is cut off unless it is finished.
///
/// `quinn` finishes a stream that is merely dropped, which would make a part look whole.
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

    /// Sends `bytes`, waiting for room.
    ///
    /// # Errors
    ///
    /// When the other end has stopped reading or the connection is lost.
    pub async fn write(&mut self, bytes: Bytes) -> Result<(), quinn::WriteError> {
        self.stream.write_chunk(bytes).await
    }

    /// Says that all has been sent.
    pub fn finish(&mut self) {
        self.finished = self.stream.finish().is_ok();
    }

    /// Waits until the other end no longer reads, or has read all.
    pub async fn stopped(&self) {
        // Both a stop and a lost connection mean that nobody reads.
        let _ = self.stream.stopped().await;
    }
}

impl Drop for CallSend {
    fn drop(&mut self) {
        if !self.finished {
            // A stream that is closed already needs no reset.
            let _ = self.stream.reset(RESET_TRUNCATED);
        }
    }
}

/// A request's stream at the daemon that opened it.
pub struct CallStream {
    /// Towards the executor.
    pub send: CallSend,
    /// From the executor.
    pub frames: Frames,
    /// The connection, for probes.
    pub link: PeerLink,
    /// Keeps the connection in use.
    pub guard: StreamGuard,
}

/// A request's stream at the daemon that accepted it.
pub struct IncomingStream {
    /// Towards the daemon that opened it.
    pub send: CallSend,
    /// What that daemon sends; the first frame is a
    /// [`StreamOpen`](marigold_request::StreamOpen).
    pub frames: Frames,
    /// Keeps the connection in use.
    pub guard: StreamGuard,
    /// Who opened it, once its greeting has come and fits its certificate.
    pub from: Arc<OnceLock<Address>>,
}
