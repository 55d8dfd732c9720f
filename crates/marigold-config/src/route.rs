//! What operators declare of a route.

use std::sync::Arc;

use marigold_types::{Class, Interval, ServiceName};
use serde::{Deserialize, Serialize};

/// Leads the requests below a path to a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The start of the request paths that the route takes; the longest match wins.
    pub path: Arc<str>,
    /// The service that runs the requests.
    pub service: ServiceName,
    /// Which requests go first when there is not room for all.
    pub class: Class,
    /// Whether a request may run more than once; otherwise it runs at most once.
    pub idempotent: bool,
    /// How long a request may take, unless its caller allows less.
    pub deadline: Interval,
}
