//! What daemons say to one another.

use marigold_config::{Config, Delta};
use marigold_types::{Address, Incarnation, Version};
use serde::{Deserialize, Serialize};

use crate::version_summary::MAX_LAGGING_MEMBERS;
use crate::{Member, StateDigest, VersionSummary};

/// The longest message that is decoded, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 2 << 20;
/// The most members that one message carries.
pub const MAX_MEMBERS: usize = 512;
/// The most data centres that a member may call unreachable.
const MAX_CUT: usize = 64;
/// The number of buckets of the members table.
pub const MEMBER_TABLE_BUCKETS: usize = 64;

/// What is asked for as a whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum SnapshotKind {
    /// The configuration.
    Config,
    /// The members table.
    Members,
}

/// One change that gossip carries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// A member changed.
    Member(Member),
    /// A follower tells who holds which version below it.
    Summary {
        /// The follower.
        follower: Address,
        /// Grows with each report of one life of the follower.
        number: (Incarnation, u32),
        /// What it counted.
        summary: VersionSummary,
    },
}

/// A control message; see docs/CONTROL-PROTOCOL.md.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for a sign of life.
    Probe {
        /// Repeated by the answer.
        nonce: u64,
        /// What the sender holds.
        mark: StateDigest,
    },
    /// Answers a probe.
    Answer {
        /// The probe's number.
        nonce: u64,
        /// What the sender holds.
        mark: StateDigest,
    },
    /// Asks another daemon to probe `target`, whose own answer was missed.
    Relay {
        /// Repeated by the answer.
        nonce: u64,
        /// The daemon to be probed.
        target: Address,
    },
    /// Announces a daemon that has started and asks for the members.
    Join {
        /// The new daemon.
        member: Member,
    },
    /// Answers a join with part of the members table.
    Table {
        /// Some members.
        members: Vec<Member>,
        /// Whether it is the last part.
        last: bool,
        /// Whether the sender has itself found the mesh; otherwise it may know very few.
        joined: bool,
    },
    /// Carries changes on.
    Gossip {
        /// The changes.
        updates: Vec<Update>,
    },
    /// Starts a comparison of what two daemons hold.
    Compare {
        /// What the sender holds.
        mark: StateDigest,
    },
    /// Tells the digests of the members table, bucket by bucket.
    Buckets {
        /// One digest for each bucket.
        digests: Vec<u64>,
    },
    /// Carries the members of some buckets.
    Records {
        /// The buckets that are wanted back, one bit each.
        wanted: u64,
        /// The sender's members of its differing buckets.
        members: Vec<Member>,
    },
    /// Carries the step to a newer version.
    Delta {
        /// The step.
        delta: Delta,
    },
    /// Asks for what is newer than the version held.
    Fetch {
        /// The version that the sender holds.
        held: Version,
    },
    /// Carries a whole configuration.
    Whole {
        /// The configuration.
        config: Config,
        /// The first eight bytes of its digest.
        digest: u64,
    },
    /// Refuses to hand out a whole state now.
    Busy {
        /// What was asked for.
        subject: SnapshotKind,
        /// When to ask again, in milliseconds.
        retry: u32,
        /// A daemon that has it and may be asked instead.
        other: Option<Address>,
    },
    /// Tells that what was handed out has arrived.
    Holding {
        /// What had been asked for.
        subject: SnapshotKind,
        /// What the sender holds.
        mark: StateDigest,
    },
    /// Asks what the sender's address is remembered to have held.
    Recall,
    /// Answers a recall.
    Recalled {
        /// The newest version that the address is known to have held.
        held: Version,
        /// The latest life of the address that is known.
        life: Incarnation,
        /// Whether the answering daemon itself serves; one that has just started knows nothing.
        settled: bool,
        /// Whether it read the log to its end a moment ago.
        fresh: bool,
        /// What the answering daemon holds.
        mark: StateDigest,
    },
    /// Tells the parent in the fan-out tree who holds which version.
    Ack {
        /// The sender and those below it.
        summary: VersionSummary,
    },
}

/// Why a message was not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// It is longer than any message may be.
    #[error("a message of {bytes} bytes, where at most {MAX_MESSAGE_BYTES} are allowed")]
    TooLong {
        /// Its length.
        bytes: usize,
    },
    /// It is not a message of this protocol.
    #[error("not a control message")]
    Malformed,
    /// One of its lists is longer than allowed.
    #[error("a {kind} message with too many entries")]
    TooMany {
        /// The kind of the message.
        kind: &'static str,
    },
}

impl Message {
    /// Names the kind of the message, for the counters of control bytes.
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
    /// Never: every message has an encoding.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a message has an encoding")
    }

    /// Decodes a message, whatever the bytes are.
    ///
    /// # Errors
    ///
    /// When the bytes are too many, are no message, or a list in it is too long.
    pub fn decode(bytes: &[u8]) -> Result<Self, MessageError> {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(MessageError::TooLong { bytes: bytes.len() });
        }
        let message: Self = postcard::from_bytes(bytes).map_err(|_| MessageError::Malformed)?;
        if message.is_bounded() {
            return Ok(message);
        }
        Err(MessageError::TooMany {
            kind: message.kind(),
        })
    }

    fn is_bounded(&self) -> bool {
        match self {
            Self::Join { member } => is_bounded_member(member),
            Self::Table { members, .. } | Self::Records { members, .. } => {
                members.len() <= MAX_MEMBERS && members.iter().all(is_bounded_member)
            }
            Self::Gossip { updates } => {
                updates.len() <= MAX_MEMBERS && updates.iter().all(is_bounded_update)
            }
            Self::Buckets { digests } => digests.len() == MEMBER_TABLE_BUCKETS,
            Self::Ack { summary } => summary.behind.len() <= MAX_LAGGING_MEMBERS,
            _ => true,
        }
    }
}

fn is_bounded_member(member: &Member) -> bool {
    member.unreachable_data_centres.len() <= MAX_CUT
}

fn is_bounded_update(update: &Update) -> bool {
    match update {
        Update::Member(member) => is_bounded_member(member),
        Update::Summary { summary, .. } => summary.behind.len() <= MAX_LAGGING_MEMBERS,
    }
}
