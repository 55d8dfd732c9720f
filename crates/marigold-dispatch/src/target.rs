//! One part of a route's traffic.

use marigold_types::ServiceName;

/// A service that gets a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: ServiceName,
    /// Its share, relative to the other targets of the route.
    pub weight: u32,
}
