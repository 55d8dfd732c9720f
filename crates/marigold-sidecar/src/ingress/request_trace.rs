//! Facts about a request, collected for its log event.

use std::net::SocketAddr;
use std::time::Duration;

use marigold_request::quarantine::Fingerprint;
use marigold_types::{ServiceName, Version};

/// The route and attempts of one request, filled in while it is processed.
#[derive(Debug, Clone, Default)]
pub struct RequestTrace {
    /// Version of the configuration that it was routed by.
    pub version: Version,
    /// Name of the matching route; empty if there is none.
    pub route: String,
    /// Identifies the request among its repeats, if it may crash backend servers.
    pub fingerprint: Option<Fingerprint>,
    /// Service selected by the route.
    pub service: Option<ServiceName>,
    /// Executors that were tried, in order.
    pub executors: Vec<SocketAddr>,
    /// Result of each attempt, in the order of `executors`.
    pub steps: Vec<String>,
    /// Time spent waiting for a slot, in the last attempt with a reply.
    pub waited: Duration,
    /// Run time on the backend server, in the same attempt.
    pub ran: Duration,
}
