//! The backend server beside the daemon, as it announced itself.

use std::net::SocketAddr;

use marigold_types::{ServiceName, SlotCount};
use serde::{Deserialize, Serialize};

/// What a backend server says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendServer {
    /// The service it runs.
    pub service: ServiceName,
    /// Where it takes requests, over HTTP.
    pub address: SocketAddr,
    /// How many requests it runs at once.
    pub slots: SlotCount,
    /// How many connections it accepts.
    pub connections: u32,
}
