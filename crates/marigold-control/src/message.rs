//! Control messages between daemons.

use marigold_config::{Config, Delta};
use marigold_types::{Address, Incarnation, Version};
use serde::{Deserialize, Serialize};

use crate::version_summary::MAX_LAGGING_MEMBERS;
use crate::{Member, StateDigest, VersionSummary};

/// The maximum size of a message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 2 << 20;
/// The maximum number of members in a message.
pub const MAX_MEMBERS: usize = 512;
/// The maximum number of unreachable data centres in a member record.
const MAX_UNREACHABLE_DATA_CENTRES: usize = 64;
/// The number of buckets of the members table; each has one bit in a bit mask.
pub const MEMBER_TABLE_BUCKETS: usize = 64;

/// The kinds of state that are transferred in full to a daemon without a usable base.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum SnapshotKind {
    /// The configuration.
    Config,
    /// The members table.
    Members,
}

/// A change disseminated by gossip.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// A member record changed.
    Member(Member),
    /// A follower reports the versions held in its subtree.
    Summary {
        /// The follower.
        follower: Address,
        /// The follower's incarnation, and a counter incremented with each report.
        number: (Incarnation, u32),
        /// The versions held in its subtree.
        summary: VersionSummary,
    },
}

/// A control message; see docs/CONTROL-PROTOCOL.md.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Checks whether the receiver is alive.
    Probe {
        /// Echoed in the answer.
        nonce: u64,
        /// The digest of the sender's state.
        mark: StateDigest,
    },
    /// Answers a probe.
    Answer {
        /// The nonce of the probe.
        nonce: u64,
        /// The digest of the sender's state.
        mark: StateDigest,
    },
    /// Asks the receiver to probe `target`, which did not answer the sender.
    Relay {
        /// Echoed in the answer.
        nonce: u64,
        /// The daemon to probe.
        target: Address,
    },
    /// Announces a daemon that has started, and requests the members table.
    Join {
        /// The record of the sender.
        member: Member,
    },
    /// Answers a join with a part of the members table.
    Table {
        /// The members in this part.
        members: Vec<Member>,
        /// Whether this is the last part.
        last: bool,
        /// Whether the sender has joined the mesh; otherwise its table may be incomplete.
        joined: bool,
    },
    /// Disseminates updates.
    Gossip {
        /// The updates.
        updates: Vec<Update>,
    },
    /// Starts an anti-entropy exchange.
    Compare {
        /// The digest of the sender's state.
        mark: StateDigest,
    },
    /// Carries the digests of the buckets of the members table.
    Buckets {
        /// One digest for each bucket, in order.
        digests: Vec<u64>,
    },
    /// Carries the members of some buckets.
    Records {
        /// A bit mask of the buckets that the sender requests in return.
        wanted: u64,
        /// The sender's members in the buckets that differ.
        members: Vec<Member>,
    },
    /// Carries the changes from one version of the configuration to a newer one.
    Delta {
        /// The changes.
        delta: Delta,
    },
    /// Requests a configuration newer than `held`.
    Fetch {
        /// The version that the sender holds.
        held: Version,
    },
    /// Carries a complete configuration.
    Whole {
        /// The configuration.
        config: Config,
        /// The first eight bytes of its digest.
        digest: u64,
    },
    /// Defers a request for a snapshot.
    Busy {
        /// The requested snapshot.
        subject: SnapshotKind,
        /// The delay until the next attempt, in milliseconds.
        retry: u32,
        /// A daemon that has the snapshot and can be asked instead.
        other: Option<Address>,
    },
    /// Confirms that a snapshot has arrived.
    Holding {
        /// The received snapshot.
        subject: SnapshotKind,
        /// The digest of the sender's state.
        mark: StateDigest,
    },
    /// Asks which version the sender's address is known to have held.
    Recall,
    /// Answers a recall.
    Recalled {
        /// The newest version that the address is known to have held.
        held: Version,
        /// The latest known incarnation of the address.
        life: Incarnation,
        /// Whether the answering daemon serves; one that has just started has no usable knowledge.
        settled: bool,
        /// Whether it recently read the log to its end.
        fresh: bool,
        /// The digest of the answering daemon's state.
        mark: StateDigest,
    },
    /// Reports the versions held in a subtree to the parent in the fan-out tree.
    Ack {
        /// The versions held by the sender and the daemons below it.
        summary: VersionSummary,
    },
}

/// Why a message was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// It exceeds [`MAX_MESSAGE_BYTES`].
    #[error("message of {bytes} bytes exceeds the limit of {MAX_MESSAGE_BYTES}")]
    TooLong {
        /// Its size in bytes.
        bytes: usize,
    },
    /// It is not a valid encoding of a control message.
    #[error("malformed control message")]
    Malformed,
    /// One of its lists does not have an allowed length.
    #[error("{kind} message with too many entries")]
    TooMany {
        /// The kind of the message.
        kind: &'static str,
    },
}

impl Message {
    /// Returns the kind of the message, a label of the control traffic counters.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Probe { .. } => "probe",
            Self::Answer { .. } => "answer",
            Self::Relay { .. } => "relay",
            Self::Join { .. } => "join",
            Self::Table { .. } => "table",
            Self::Gossip { .. } => "gossip",
            Self::Compare { .. } => "compare",
            Self::Buckets { .. } => "buckets",
            Self::Records { .. } => "records",
            Self::Delta { .. } => "delta",
            Self::Fetch { .. } => "fetch",
            Self::Whole { .. } => "whole",
            Self::Busy { .. } => "busy",
            Self::Holding { .. } => "holding",
            Self::Recall => "recall",
            Self::Recalled { .. } => "recalled",
            Self::Ack { .. } => "ack",
        }
    }

    /// Encodes the message.
    ///
    /// # Panics
    ///
    /// Never: every message can be encoded.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("every message can be encoded")
    }

    /// Decodes a message from untrusted bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are too many or malformed, or if a list has a wrong length.
    pub fn decode(bytes: &[u8]) -> Result<Self, MessageError> {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(MessageError::TooLong { bytes: bytes.len() });
        }
        let message: Self = postcard::from_bytes(bytes).map_err(|_| MessageError::Malformed)?;
        if message.has_valid_lengths() {
            return Ok(message);
        }
        Err(MessageError::TooMany {
            kind: message.kind(),
        })
    }

    fn has_valid_lengths(&self) -> bool {
        match self {
            Self::Join { member } => is_valid_member(member),
            Self::Table { members, .. } | Self::Records { members, .. } => {
                members.len() <= MAX_MEMBERS && members.iter().all(is_valid_member)
            }
            Self::Gossip { updates } => {
                updates.len() <= MAX_MEMBERS && updates.iter().all(is_valid_update)
            }
            Self::Buckets { digests } => digests.len() == MEMBER_TABLE_BUCKETS,
            Self::Ack { summary } => summary.behind.len() <= MAX_LAGGING_MEMBERS,
            _ => true,
        }
    }
}

fn is_valid_member(member: &Member) -> bool {
    member.unreachable_data_centres.len() <= MAX_UNREACHABLE_DATA_CENTRES
}

fn is_valid_update(update: &Update) -> bool {
    match update {
        Update::Member(member) => is_valid_member(member),
        Update::Summary { summary, .. } => summary.behind.len() <= MAX_LAGGING_MEMBERS,
    }
}
