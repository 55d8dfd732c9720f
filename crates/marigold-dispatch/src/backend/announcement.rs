//! Announcements that a backend server sends to the daemon beside it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use marigold_types::{ServiceName, SlotCount};

use crate::ServerVersion;

/// Whether a backend server accepts requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServingState {
    /// Accepts requests.
    Ready,
    /// Shutting down; accepts no new requests.
    Draining,
}

/// An announcement of a backend server instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// The identifier of the instance, set by the backend server.
    pub identity: Arc<str>,
    /// The start time of the instance in milliseconds, by its own clock. Distinguishes instances that reuse
    /// an identity.
    pub started_ms: Option<u64>,
    /// Increases with each announcement of an instance.
    pub sequence: u64,
    /// The service that the backend server implements.
    pub service: ServiceName,
    /// The version of its software, or `None` if it is not known yet.
    pub version: Option<ServerVersion>,
    /// The address that accepts requests.
    pub address: SocketAddr,
    /// The number of requests that it processes concurrently.
    pub slots: SlotCount,
    /// Whether it accepts requests.
    pub state: ServingState,
    /// The remaining time during which it is slow after its start.
    pub warmup: Duration,
}
