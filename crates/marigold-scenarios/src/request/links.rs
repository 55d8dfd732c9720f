//! The connections between daemons.

use std::collections::{BTreeMap, BTreeSet};

use marigold_request::silence::ConnectionMonitor;
use marigold_types::Interval;
use tokio::time::Instant;

use super::message::NodeId;

/// How long an answer may be overdue before its connection is probed.
const SILENCE: Interval = Interval::from_millis(1_000);

/// One connection, seen from the daemon that opened it.
#[derive(Debug)]
pub struct Link {
    /// Judges it.
    pub monitor: ConnectionMonitor,
    /// Tells it from earlier ones between the same daemons.
    pub number: u64,
    /// Whether nothing passes any more.
    pub is_mute: bool,
}

/// Every connection and every cut.
#[derive(Debug, Default)]
pub struct Links {
    open: BTreeMap<(NodeId, NodeId), Link>,
    sides: BTreeMap<NodeId, u32>,
    cuts: u32,
    opened: u64,
    muted: BTreeSet<u64>,
}

impl Links {
    /// Returns the connection from one daemon to another.
    pub fn get(&mut self, from: NodeId, to: NodeId) -> Option<&mut Link> {
        self.open.get_mut(&(from, to))
    }

    /// Opens a connection.
    pub fn open(&mut self, from: NodeId, to: NodeId, now: Instant) -> &mut Link {
        self.opened += 1;
        let link = Link {
            monitor: ConnectionMonitor::new(SILENCE, now),
            number: self.opened,
            is_mute: false,
        };
        self.open.entry((from, to)).insert_entry(link).into_mut()
    }

    /// Closes the connection from one daemon to another.
    pub fn close(&mut self, from: NodeId, to: NodeId) {
        self.open.remove(&(from, to));
    }

    /// Returns every connection with its two daemons.
    pub fn all(&mut self) -> impl Iterator<Item = (&(NodeId, NodeId), &mut Link)> {
        self.open.iter_mut()
    }

    /// Ends every connection of a daemon that is gone; the others' ends just go silent, also when it
    /// comes back.
    pub fn close_all(&mut self, gone: NodeId) {
        self.open.retain(|(opener, _), _| *opener != gone);
        let open = self.open.iter().filter(|((_, to), _)| *to == gone);
        self.muted.extend(open.map(|(_, link)| link.number));
    }

    /// Makes the open connections between two daemons silent.
    pub fn mute(&mut self, one: NodeId, other: NodeId) {
        for pair in [(one, other), (other, one)] {
            if let Some(link) = self.open.get_mut(&pair) {
                link.is_mute = true;
                self.muted.insert(link.number);
            }
        }
    }

    /// Returns whether a message on connection `number` arrives.
    pub fn carries(&self, number: u64) -> bool {
        !self.muted.contains(&number)
    }

    /// Cuts daemons off as one group.
    pub fn cut(&mut self, names: &[NodeId]) {
        self.cuts += 1;
        for name in names {
            self.sides.insert(*name, self.cuts);
        }
    }

    /// Ends every cut.
    pub fn heal(&mut self) {
        self.sides.clear();
    }

    /// Returns whether two daemons reach each other.
    pub fn reaches(&self, one: NodeId, other: NodeId) -> bool {
        self.sides.get(&one) == self.sides.get(&other)
    }
}
