//! One open connection to another daemon.

use std::sync::Arc;

use bytes::Bytes;
use marigold_request::silence::Verdict;
use quinn::{Connection, VarInt};
use tokio::time::Instant;

use super::link_monitor::LinkMonitor;
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
    /// Whether it has gone silent.
    pub(super) monitor: Arc<LinkMonitor>,
}

impl PeerLink {
    /// Returns whether nothing has closed it yet; it may be silent all the same.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.connection.close_reason().is_none()
    }

    /// Returns how many datagrams have come in, by which silence is told.
    #[must_use]
    pub fn received_datagrams(&self) -> u64 {
        self.connection.stats().udp_rx.datagrams
    }

    /// Counts a request that waits for its answer until the guard goes.
    #[must_use]
    pub fn track_request(&self) -> PendingRequest {
        self.monitor.sent();
        PendingRequest {
            link: self.clone(),
            answered: false,
        }
    }

    /// Judges whether the connection has gone silent, and probes it when something is overdue.
    #[must_use]
    pub fn check_silence(&self) -> Verdict {
        let verdict = self.monitor.verdict(self.received_datagrams());
        if verdict == Verdict::Probe {
            self.probe();
            self.monitor.probed();
        }
        verdict
    }

    /// Returns when to judge next.
    #[must_use]
    pub fn next_check(&self) -> Option<Instant> {
        self.monitor.next_check()
    }

    /// Returns whether a new request may go over this connection.
    #[must_use]
    pub fn may_carry(&self, idempotent: bool) -> bool {
        self.is_open()
            && self
                .monitor
                .may_carry(self.received_datagrams(), idempotent)
    }

    /// Sends a packet that the peer has to acknowledge, so that [`PeerLink::received_datagrams`] grows if it
    /// lives.
    fn probe(&self) {
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

/// A request that waits for its answer.
pub struct PendingRequest {
    link: PeerLink,
    answered: bool,
}

impl PendingRequest {
    /// Notes that the answer has come.
    pub fn answered(mut self) {
        self.answered = true;
    }
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        self.link.monitor.ended(self.answered);
    }
}
