//! What the configuration says of one route.

use std::sync::Arc;
use std::time::Duration;

use crate::{CallKind, Rank, Target};

/// How the requests of a route are treated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoutePolicy {
    /// The route's name, which also names its kind of work.
    pub kind: CallKind,
    /// The host that it belongs to, in lower case.
    pub host: Arc<str>,
    /// The start of the paths that it takes; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// How long a caller is kept waiting at most.
    pub timeout: Duration,
    /// The time within which an answer earns its full value.
    pub objective: Duration,
    /// Its urgency.
    pub rank: Rank,
    /// The most backend servers that one request is sent to.
    pub attempts: u32,
    /// The services that share its requests, at least one.
    pub targets: Vec<Target>,
}
