//! Counters of control traffic.

use std::collections::BTreeMap;

use serde::Serialize;

/// A number of messages and their total size.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Traffic {
    /// The number of messages.
    pub messages: u64,
    /// Their total size in bytes.
    pub bytes: u64,
}

/// Control messages and log operations since the start of the daemon.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Sent messages by kind.
    pub sent: BTreeMap<&'static str, Traffic>,
    /// Received messages by kind.
    pub received: BTreeMap<&'static str, Traffic>,
    /// Received messages that could not be decoded.
    pub malformed: u64,
    /// Reads of the log.
    pub reads: u64,
    /// Appends to the log.
    pub appends: u64,
    /// Received deltas and configurations that were rejected.
    pub refused: u64,
    /// Snapshot requests deferred because the limit of concurrent transfers was reached.
    pub deferred: u64,
}

impl Counters {
    /// Counts one sent message.
    pub fn count_sent(&mut self, kind: &'static str, bytes: usize) {
        count(self.sent.entry(kind).or_default(), bytes);
    }

    /// Counts one received message.
    pub fn count_received(&mut self, kind: &'static str, bytes: usize) {
        count(self.received.entry(kind).or_default(), bytes);
    }
}

fn count(traffic: &mut Traffic, bytes: usize) {
    traffic.messages += 1;
    traffic.bytes += bytes as u64;
}
