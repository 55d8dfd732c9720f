//! The configuration of a route.

use std::sync::Arc;
use std::time::Duration;

use crate::{CallKind, Rank, Target};

/// The configuration that applies to the requests of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoutePolicy {
    /// The route's name, which also identifies its kind of request.
    pub kind: CallKind,
    /// The host that the route matches, in lower case.
    pub host: Arc<str>,
    /// The path prefix that the route matches; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// The maximum time until the caller gets a response.
    pub timeout: Duration,
    /// The latency objective: a response within this time has its full value.
    pub objective: Duration,
    /// The priority of the requests; the smallest rank goes first.
    pub rank: Rank,
    /// The maximum number of backend servers that a request is sent to.
    pub attempts: u32,
    /// Whether callers need no key, although the configuration has workspaces.
    pub is_open: bool,
    /// The services that the requests are split between; at least one.
    pub targets: Vec<Target>,
}
