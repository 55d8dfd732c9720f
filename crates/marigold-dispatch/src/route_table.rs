//! A whole version of the configuration, as the request path reads it.

use std::collections::HashMap;
use std::sync::Arc;

use marigold_types::{ServiceName, Version};

use crate::{CallerLimits, RoutePolicy};

/// What the configuration says of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServicePolicy {
    /// Where its backend servers answer for their health.
    pub health_path: Arc<str>,
    /// The connections that one backend server accepts.
    pub connections: u32,
}

/// The routes, services and limits of one version; replaced whole and never changed.
///
/// A lookup costs a step for each slash of the path, however many routes there are.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RouteTable {
    version: Version,
    hosts: HashMap<Arc<str>, HashMap<Arc<str>, Arc<RoutePolicy>>>,
    services: HashMap<ServiceName, ServicePolicy>,
    limits: CallerLimits,
}

impl RouteTable {
    /// Builds the table of `version`.
    #[must_use]
    pub fn new(
        version: Version,
        routes: Vec<RoutePolicy>,
        services: HashMap<ServiceName, ServicePolicy>,
        limits: CallerLimits,
    ) -> Self {
        let mut hosts: HashMap<_, HashMap<_, _>> = HashMap::new();
        for route in routes {
            let host = hosts.entry(route.host.clone()).or_default();
            host.insert(route.prefix.clone(), Arc::new(route));
        }
        Self {
            version,
            hosts,
            services,
            limits,
        }
    }

    /// Returns the version.
    #[must_use]
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the limits on callers.
    #[must_use]
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns what is said of `service`.
    #[must_use]
    pub fn service(&self, service: &ServiceName) -> Option<&ServicePolicy> {
        self.services.get(service)
    }

    /// Returns the route with the longest prefix that begins `target`, a path with or without a query.
    #[must_use]
    pub fn find(&self, host: &str, target: &str) -> Option<&Arc<RoutePolicy>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(name.to_ascii_lowercase().as_str())?,
        };
        let path = target.split(['?', '#']).next().unwrap_or(target);
        let mut ends = path.rmatch_indices('/').map(|(place, _)| place);
        ends.find_map(|end| routes.get(&path[..=end]))
    }
}
