//! One open connection to another daemon.

use std::sync::Arc;

use bytes::Bytes;
use marigold_request::silence::ConnectionState;
use quinn::{Connection, VarInt};
use tokio::time::Instant;

use super::link_monitor::LinkMonitor;
use super::registry::Usage;

/// The close code after a protocol violation by the peer.
const CLOSE_PROTOCOL_ERROR: VarInt = VarInt::from_u32(2);
/// The close code of a silent connection.
const CLOSE_SILENT: VarInt = VarInt::from_u32(3);

/// A connection with its usage and its monitor; cheap to clone.
#[derive(Clone)]
pub struct PeerLink {
    pub(super) connection: Connection,
    pub(super) usage: Arc<Usage>,
    pub(super) monitor: Arc<LinkMonitor>,
}

impl PeerLink {
    /// Returns whether the connection is not closed; it may still be silent.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.connection.close_reason().is_none()
    }

    /// Returns the number of datagrams received so far, by which silence is detected.
    #[must_use]
    pub fn received_datagrams(&self) -> u64 {
        self.connection.stats().udp_rx.datagrams
    }

    /// Counts a request that waits for its answer, until the returned guard is dropped.
    #[must_use]
    pub fn track_request(&self) -> PendingRequest {
        self.monitor.request_sent();
        PendingRequest {
            link: self.clone(),
            answered: false,
        }
    }

    /// Checks whether the connection is silent, and sends a probe if an answer is overdue.
    #[must_use]
    pub fn check_silence(&self) -> ConnectionState {
        let state = self.monitor.state(self.received_datagrams());
        if state == ConnectionState::ProbeDue {
            self.probe();
            self.monitor.probe_sent();
        }
        state
    }

    /// Returns when to call [`PeerLink::check_silence`] next.
    #[must_use]
    pub fn next_check(&self) -> Option<Instant> {
        self.monitor.next_check()
    }

    /// Returns whether a new request may use this connection.
    #[must_use]
    pub fn may_carry(&self, idempotent: bool) -> bool {
        self.is_open()
            && self
                .monitor
                .may_carry(self.received_datagrams(), idempotent)
    }

    /// Sends a packet that the peer must acknowledge, which increases
    /// [`PeerLink::received_datagrams`] if the connection works.
    fn probe(&self) {
        // A probe that cannot be sent has the same effect as one without an answer.
        let _ = self.connection.send_datagram(Bytes::from_static(b"?"));
    }

    pub(super) fn close_protocol_error(&self, reason: &str) {
        self.connection
            .close(CLOSE_PROTOCOL_ERROR, reason.as_bytes());
    }

    pub(super) fn close_silent(&self) {
        self.connection.close(CLOSE_SILENT, b"silent");
    }
}

/// A request that waits for its answer.
pub struct PendingRequest {
    link: PeerLink,
    answered: bool,
}

impl PendingRequest {
    /// Records that the answer has arrived.
    pub fn answered(mut self) {
        self.answered = true;
    }
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        self.link.monitor.request_ended(self.answered);
    }
}
