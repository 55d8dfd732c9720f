//! One configuration version, indexed for request routing.

use std::collections::HashMap;
use std::sync::Arc;

use marigold_types::{ServiceName, Version};

use crate::{CallerLimits, RoutePolicy, WorkspaceTable};

/// The configuration of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServicePolicy {
    /// The path of the health check on its backend servers.
    pub health_path: Arc<str>,
    /// The maximum number of connections to one backend server.
    pub connections: u32,
}

/// The routes, services and limits of a configuration version. It is immutable; a new version replaces it.
///
/// A lookup takes one step for each slash in the path, regardless of the number of routes.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RouteTable {
    version: Version,
    hosts: HashMap<Arc<str>, HashMap<Arc<str>, Arc<RoutePolicy>>>,
    services: HashMap<ServiceName, ServicePolicy>,
    limits: CallerLimits,
    workspaces: Option<Arc<WorkspaceTable>>,
}

impl RouteTable {
    /// Builds the table for `version`.
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
            workspaces: None,
        }
    }

    /// Sets the workspaces. Without them, callers need no key.
    #[must_use]
    pub fn with_workspaces(mut self, workspaces: WorkspaceTable) -> Self {
        self.workspaces = Some(Arc::new(workspaces));
        self
    }

    /// Returns the workspaces, or `None` if callers need no key.
    #[must_use]
    pub fn workspaces(&self) -> Option<&Arc<WorkspaceTable>> {
        self.workspaces.as_ref()
    }

    /// Returns the configuration version.
    #[must_use]
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the limits for caller connections.
    #[must_use]
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns the configuration of `service`.
    #[must_use]
    pub fn service(&self, service: &ServiceName) -> Option<&ServicePolicy> {
        self.services.get(service)
    }

    /// Returns the route with the longest matching prefix of `target`, a path with an optional query.
    #[must_use]
    pub fn find(&self, host: &str, target: &str) -> Option<&Arc<RoutePolicy>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(name.to_ascii_lowercase().as_str())?,
        };
        let path = target.split(['?', '#']).next().unwrap_or(target);
        let mut ends = path.rmatch_indices('/').map(|(index, _)| index);
        ends.find_map(|end| routes.get(&path[..=end]))
    }
}
