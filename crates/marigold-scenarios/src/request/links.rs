//! The connections and network partitions between daemons.

use std::collections::{BTreeMap, BTreeSet};

use marigold_request::silence::ConnectionMonitor;
use marigold_types::Interval;
use tokio::time::Instant;

use super::message::NodeId;

/// The time without any message, while an answer is due, after which a connection is probed.
const SILENCE_TIMEOUT: Interval = Interval::from_millis(1_000);

/// A connection, as seen by the daemon that opened it.
#[derive(Debug)]
pub struct Link {
    /// Detects that it has gone silent.
    pub monitor: ConnectionMonitor,
    /// Its number, unique in a scenario.
    pub number: u64,
    /// Whether it drops all messages.
    pub is_silent: bool,
}

/// All connections and partitions.
#[derive(Debug, Default)]
pub struct Links {
    open: BTreeMap<(NodeId, NodeId), Link>,
    partitions: BTreeMap<NodeId, u32>,
    partition_count: u32,
    opened: u64,
    silenced: BTreeSet<u64>,
}

impl Links {
    /// Returns the open connection from one daemon to another.
    pub fn get(&mut self, from: NodeId, to: NodeId) -> Option<&mut Link> {
        self.open.get_mut(&(from, to))
    }

    /// Opens a connection, which replaces an earlier one between the same daemons.
    pub fn open(&mut self, from: NodeId, to: NodeId, now: Instant) -> &mut Link {
        self.opened += 1;
        let link = Link {
            monitor: ConnectionMonitor::new(SILENCE_TIMEOUT, now),
            number: self.opened,
            is_silent: false,
        };
        self.open.entry((from, to)).insert_entry(link).into_mut()
    }

    /// Closes the connection from one daemon to another.
    pub fn close(&mut self, from: NodeId, to: NodeId) {
        self.open.remove(&(from, to));
    }

    /// Returns all open connections by opener and peer.
    pub fn all(&mut self) -> impl Iterator<Item = (&(NodeId, NodeId), &mut Link)> {
        self.open.iter_mut()
    }

    /// Closes the connections that a stopped daemon opened. Those opened to it stay open but drop
    /// all messages, even after its restart.
    pub fn close_all(&mut self, gone: NodeId) {
        self.open.retain(|(opener, _), _| *opener != gone);
        let open = self.open.iter().filter(|((_, to), _)| *to == gone);
        self.silenced.extend(open.map(|(_, link)| link.number));
    }

    /// Makes the open connections between two daemons drop all messages.
    pub fn silence(&mut self, one: NodeId, other: NodeId) {
        for pair in [(one, other), (other, one)] {
            if let Some(link) = self.open.get_mut(&pair) {
                link.is_silent = true;
                self.silenced.insert(link.number);
            }
        }
    }

    /// Returns whether connection `number` delivers messages.
    pub fn carries(&self, number: u64) -> bool {
        !self.silenced.contains(&number)
    }

    /// Partitions a group of daemons from all others.
    pub fn partition(&mut self, ids: &[NodeId]) {
        self.partition_count += 1;
        for id in ids {
            self.partitions.insert(*id, self.partition_count);
        }
    }

    /// Removes all partitions.
    pub fn heal(&mut self) {
        self.partitions.clear();
    }

    /// Returns whether two daemons are in the same partition.
    pub fn reaches(&self, one: NodeId, other: NodeId) -> bool {
        self.partitions.get(&one) == self.partitions.get(&other)
    }
}
