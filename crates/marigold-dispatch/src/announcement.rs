//! What a backend server says of itself.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use marigold_types::{ServiceName, SlotCount};

/// Whether a backend server takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServingState {
    /// It takes work.
    Ready,
    /// It is about to leave and takes no new work.
    Draining,
}

/// One announcement of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// The identity of this life of it.
    pub identity: Arc<str>,
    /// When this life began, in milliseconds of its own clock; tells lives with one identity apart.
    pub started_ms: Option<u64>,
    /// Grows with each announcement of one life.
    pub sequence: u64,
    /// The service that it runs.
    pub service: ServiceName,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// How many requests it runs at once.
    pub slots: SlotCount,
    /// Whether it takes work.
    pub state: ServingState,
    /// How much longer it is slow after its start.
    pub warmup: Duration,
}
