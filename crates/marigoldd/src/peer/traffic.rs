//! Traffic between daemons.

use quinn::ConnectionStats;

use super::LinkKind;

/// UDP payload bytes of all connections since the start, by [`LinkKind::index`].
///
/// Headers of IP and UDP are not included: 28 bytes per datagram over IPv4.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Bytes sent.
    pub sent: [u64; 2],
    /// Bytes received.
    pub received: [u64; 2],
    /// Datagrams sent and received.
    pub datagrams: [u64; 2],
    /// Connections that are open now.
    pub open: [u64; 2],
}

impl Traffic {
    pub(super) fn add(&mut self, kind: LinkKind, stats: &ConnectionStats) {
        let index = kind.index();
        self.sent[index] += stats.udp_tx.bytes;
        self.received[index] += stats.udp_rx.bytes;
        self.datagrams[index] += stats.udp_tx.datagrams + stats.udp_rx.datagrams;
    }

    /// Returns the bytes of control connections in both directions.
    #[must_use]
    pub const fn control(&self) -> u64 {
        self.sent[0] + self.received[0]
    }
}
