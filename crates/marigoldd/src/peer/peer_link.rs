//! One open connection to another daemon.

use std::sync::Arc;

use bytes::Bytes;
use quinn::{Connection, VarInt};

use super::registry::Usage;

/// The code of a connection whose peer broke the protocol.
const CLOSE_NONSENSE: VarInt = VarInt::from_u32(2);
/// The code of a connection that went silent.
const CLOSE_SILENT: VarInt = VarInt::from_u32(3);

/// An open connection with its use, cheap to clone.
#[derive(Clone)]
pub struct PeerLink {
    /// The connection itself.
    pub(super) connection: Connection,
    /// How much it is used.
    pub(super) usage: Arc<Usage>,
}

impl PeerLink {
    /// Returns whether nothing has closed it yet; it may be silent all the same.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.connection.close_reason().is_none()
    }

    /// Returns how many datagrams have come in, by which silence is told.
    #[must_use]
    pub fn heard(&self) -> u64 {
        self.connection.stats().udp_rx.datagrams
    }

    /// Sends a packet that the peer has to acknowledge, so that [`PeerLink::heard`] grows if it
    /// lives.
    pub fn probe(&self) {
        // A failed probe shows as silence, which is what it is.
        let _ = self.connection.send_datagram(Bytes::from_static(b"?"));
    }

    pub(super) fn close_nonsense(&self, reason: &str) {
        self.connection.close(CLOSE_NONSENSE, reason.as_bytes());
    }

    pub(super) fn close_silent(&self) {
        self.connection.close(CLOSE_SILENT, b"silent");
    }
}
