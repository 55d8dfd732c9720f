//! One daemon in the status of the mesh.

use std::fmt;
use std::sync::Arc;

use marigold_types::{ByteSize, DataCentre, InstanceId, Interval, ServiceName, Version};
use serde::{Deserialize, Serialize};

/// How a daemon is seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DaemonState {
    /// It answers.
    Ready,
    /// It has been silent, but not for long enough to give it up.
    Suspect,
    /// It is leaving.
    Draining,
}

impl fmt::Display for DaemonState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Ready => "ready",
            Self::Suspect => "suspect",
            Self::Draining => "draining",
        })
    }
}

/// The control bytes of one kind of message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MessageKindBytes {
    /// The kind of message.
    pub kind: Arc<str>,
    /// Sent since the daemon's start.
    pub sent: ByteSize,
    /// Received since the daemon's start.
    pub received: ByteSize,
}

/// What the answering daemon knows of a daemon, itself included.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonStatus {
    /// The daemon's address and which start of it.
    pub instance: InstanceId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The service of its backend server, if one has announced itself.
    pub service: Option<ServiceName>,
    /// How it is seen.
    pub state: DaemonState,
    /// The version that it last said it holds.
    pub version: Version,
    /// How many log records that version is behind the latest known one; zero when it holds it.
    pub lag: u64,
    /// How long it has been behind, or in this state when it is not behind.
    pub since: Interval,
    /// Its control bytes by kind; known of the answering daemon only, else empty.
    pub bytes: Vec<MessageKindBytes>,
}
