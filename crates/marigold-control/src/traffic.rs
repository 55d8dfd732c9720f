//! Counters of control messages.

use std::collections::BTreeMap;

use serde::Serialize;

/// Messages and their bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Traffic {
    /// How many messages.
    pub messages: u64,
    /// Their bytes together.
    pub bytes: u64,
}

/// What the control side has sent, received and asked of the log since the start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// What was sent, by kind.
    pub sent: BTreeMap<&'static str, Traffic>,
    /// What was received, by kind.
    pub received: BTreeMap<&'static str, Traffic>,
    /// Messages that were no messages.
    pub malformed: u64,
    /// Reads of the log.
    pub reads: u64,
    /// Appends to the log.
    pub appends: u64,
    /// Deltas and configurations that were refused as a whole.
    pub refused: u64,
    /// Whole states that were asked for while too many were under way.
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
