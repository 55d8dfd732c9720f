//! Metrics of the connections between daemons.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

use marigold_types::Address;
use metrics::{counter, gauge};

use super::{LinkKind, Traffic};

/// The number and size of the sent messages of one kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MessageCount {
    /// The number of messages.
    pub messages: u64,
    /// Their bytes, without framing and encryption.
    pub bytes: u64,
}

/// Counts events of the connections, for `status` and for the metrics.
pub(super) struct Meters {
    daemon: String,
    sent: Mutex<BTreeMap<&'static str, MessageCount>>,
}

impl Meters {
    pub(super) fn new(local: Address) -> Self {
        Self {
            daemon: local.to_string(),
            sent: Mutex::default(),
        }
    }

    /// Counts a control message that was written to a connection.
    pub(super) fn count_sent(&self, kind: &'static str, bytes: usize) {
        let bytes = bytes as u64;
        let mut sent = self.sent.lock().unwrap_or_else(PoisonError::into_inner);
        let count = sent.entry(kind).or_default();
        count.messages += 1;
        count.bytes += bytes;
        drop(sent);
        let daemon = self.daemon.clone();
        counter!("marigold_control_messages_total", "daemon" => daemon.clone(), "kind" => kind)
            .increment(1);
        counter!("marigold_control_message_bytes_total", "daemon" => daemon, "kind" => kind)
            .increment(bytes);
    }

    /// Counts a control message that was dropped, by reason.
    pub(super) fn count_dropped(&self, reason: &'static str) {
        counter!("marigold_control_dropped_total", "daemon" => self.daemon.clone(), "why" => reason)
            .increment(1);
    }

    /// Counts a fault of a peer, by the step that failed.
    pub(super) fn count_fault(&self, step: &'static str) {
        counter!("marigold_peer_faults_total", "daemon" => self.daemon.clone(), "step" => step)
            .increment(1);
    }

    /// Returns the control messages sent since the start, by kind.
    pub(super) fn sent(&self) -> BTreeMap<&'static str, MessageCount> {
        let sent = self.sent.lock().unwrap_or_else(PoisonError::into_inner);
        sent.clone()
    }

    /// Publishes the totals as metrics.
    pub(super) fn publish(&self, traffic: &Traffic) {
        for kind in LinkKind::ALL {
            let (index, label) = (kind.index(), kind.label());
            let daemon = || self.daemon.clone();
            counter!("marigold_peer_sent_bytes_total", "daemon" => daemon(), "link" => label)
                .absolute(traffic.sent[index]);
            counter!("marigold_peer_received_bytes_total", "daemon" => daemon(), "link" => label)
                .absolute(traffic.received[index]);
            #[expect(clippy::cast_precision_loss, reason = "a few thousand connections")]
            gauge!("marigold_peer_connections", "daemon" => daemon(), "link" => label)
                .set(traffic.open[index] as f64);
        }
    }
}
