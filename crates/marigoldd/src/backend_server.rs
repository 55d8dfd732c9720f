//! The announcement of the local backend server.

use std::net::SocketAddr;

use marigold_types::{ServiceName, SlotCount};
use serde::{Deserialize, Serialize};

/// A backend server as announced to its daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendServer {
    /// The service it runs.
    pub service: ServiceName,
    /// The address at which it accepts HTTP requests.
    pub address: SocketAddr,
    /// The maximum number of requests that it runs concurrently.
    pub slots: SlotCount,
    /// The maximum number of connections that it accepts.
    pub connections: u32,
}
