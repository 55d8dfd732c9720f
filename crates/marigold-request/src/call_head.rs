//! The head of a request from an ingress to an executor.

use std::sync::Arc;

use marigold_types::{CallerName, Class, Interval, RequestId, RouteName, ServiceName};
use serde::{Deserialize, Serialize};

/// A request without its body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallHead {
    /// The id of the request, which the reply repeats.
    pub id: RequestId,
    /// The route that matched the request.
    pub route: RouteName,
    /// The service that runs the request.
    pub service: ServiceName,
    /// The priority class.
    pub class: Class,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The time left until the deadline, when the request was sent.
    pub left: Interval,
    /// The number of daemons that forwarded this request and those that caused it.
    pub depth: u8,
    /// The number of the attempt, from 0.
    pub attempt: u8,
    /// The caller; absent if unknown.
    pub caller: Option<CallerName>,
    /// The key for at-most-once execution; absent if the request has none.
    pub key: Option<Arc<str>>,
    /// The HTTP method.
    pub method: Arc<str>,
    /// The path and query.
    pub target: Arc<str>,
    /// The forwarded headers, in order.
    pub headers: Vec<(Arc<str>, Vec<u8>)>,
}
