//! Status of a single daemon.

use std::fmt;
use std::sync::Arc;

use marigold_types::{ByteSize, DataCentre, InstanceId, Interval, ServiceName, Version};
use serde::{Deserialize, Serialize};

/// The state of a daemon as seen by its peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DaemonState {
    /// It responds.
    Ready,
    /// It does not respond, but has not yet been declared dead.
    Suspect,
    /// It is shutting down gracefully.
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

/// Control traffic of one kind of message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MessageKindBytes {
    /// Kind of message.
    pub kind: Arc<str>,
    /// Bytes sent since the daemon's start.
    pub sent: ByteSize,
    /// Bytes received since the daemon's start.
    pub received: ByteSize,
}

/// What the responding daemon knows of a daemon, which can be itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonStatus {
    /// Instance of the daemon.
    pub instance: InstanceId,
    /// Data centre of the daemon.
    pub data_centre: DataCentre,
    /// Service of its backend server; `None` if none has announced itself.
    pub service: Option<ServiceName>,
    /// State of the daemon.
    pub state: DaemonState,
    /// Configuration version that it last reported.
    pub version: Version,
    /// Number of log records by which that version is behind the latest known one; 0 if it is not.
    pub lag: u64,
    /// How long it has been behind or, if it is not behind, in its current state.
    pub since: Interval,
    /// Control traffic by kind of message; empty except for the responding daemon.
    pub bytes: Vec<MessageKindBytes>,
}
