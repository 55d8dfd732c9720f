//! What is remembered of a request for its log line.

use std::net::SocketAddr;
use std::time::Duration;

use marigold_types::{ServiceName, Version};

/// The inputs that decided a request, gathered on its way.
#[derive(Debug, Clone, Default)]
pub struct RequestTrace {
    /// The configuration that it was routed by.
    pub version: Version,
    /// The route that it matched.
    pub route: String,
    /// The service that it went to.
    pub service: Option<ServiceName>,
    /// The executors that it was sent to, in order.
    pub executors: Vec<SocketAddr>,
    /// What became of each of these, in order.
    pub steps: Vec<String>,
    /// How long it waited for a slot at the last executor.
    pub waited: Duration,
    /// How long it ran there.
    pub ran: Duration,
}
