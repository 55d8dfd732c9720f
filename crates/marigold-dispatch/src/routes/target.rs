//! Traffic splitting between the services of a route.

use marigold_types::ServiceName;

/// A service that receives a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The service that receives the requests.
    pub service: ServiceName,
    /// The share of requests, relative to the other targets of the route.
    pub weight: u32,
}
