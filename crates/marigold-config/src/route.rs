//! Routes.

use std::sync::Arc;

use marigold_types::{Class, Interval, ServiceName};
use serde::{Deserialize, Serialize};

/// Routes the requests below a path to a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The prefix of the request paths that the route matches; the longest match wins.
    pub path: Arc<str>,
    /// The service that handles the requests.
    pub service: ServiceName,
    /// The priority class of the requests when capacity is short.
    pub class: Class,
    /// Whether a request may run more than once; otherwise it runs at most once.
    pub idempotent: bool,
    /// The time limit of a request, unless its caller sets a shorter one.
    pub deadline: Interval,
}
