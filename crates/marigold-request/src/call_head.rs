//! A request between ingress and executor.

use std::sync::Arc;

use marigold_types::{CallerName, Class, Interval, RequestId, RouteName, ServiceName};
use serde::{Deserialize, Serialize};

/// All of a request but its body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallHead {
    /// The request's id, which the answer repeats.
    pub id: RequestId,
    /// The route that took it.
    pub route: RouteName,
    /// The service that is to run it.
    pub service: ServiceName,
    /// Its priority.
    pub class: Class,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// The time left to it when it was sent.
    pub left: Interval,
    /// How many daemons have handed it or the requests it stems from on.
    pub depth: u8,
    /// Which attempt it is, from 0.
    pub attempt: u8,
    /// Who called, where it is known.
    pub caller: Option<CallerName>,
    /// The key that it runs under at most once.
    pub key: Option<Arc<str>>,
    /// The HTTP method.
    pub method: Arc<str>,
    /// The path with its query.
    pub target: Arc<str>,
    /// The headers that are handed on, in order.
    pub headers: Vec<(Arc<str>, Vec<u8>)>,
}
