//! The snapshot used by the request path.

use std::collections::BTreeMap;
use std::sync::Arc;

use marigold_config::{Config, Declaration, Resource, Route};
use marigold_types::{InstanceId, RouteName, ServiceName};

use crate::{Endpoint, EndpointState};

/// An immutable snapshot of the control state, replaced as a whole on changes.
#[derive(Debug, Clone, PartialEq)]
pub struct View {
    /// Incremented with each snapshot that differs from the previous one.
    pub generation: u64,
    /// The instance of this daemon.
    pub local: InstanceId,
    /// Whether the daemon may serve requests: its configuration is not older than one that it is
    /// known to have held.
    pub serving: bool,
    /// The configuration that this daemon applies.
    pub config: Arc<Config>,
    /// The backend servers of each declared service, ordered by address.
    pub endpoints: BTreeMap<ServiceName, Arc<[Endpoint]>>,
    /// The route of each declared path, live or not.
    paths: BTreeMap<Arc<str>, Path>,
}

/// The route of a path; live if a backend server of its service accepts requests.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Path {
    route: RouteName,
    live: bool,
}

impl View {
    /// Builds a snapshot; endpoints of services that `config` does not declare are omitted.
    #[must_use]
    pub fn new(
        local: InstanceId,
        serving: bool,
        config: Arc<Config>,
        mut endpoints: BTreeMap<ServiceName, Arc<[Endpoint]>>,
    ) -> Self {
        endpoints.retain(|service, list| config.service(service).is_some() && !list.is_empty());
        let accepts_requests = |service: &ServiceName| {
            let list = endpoints.get(service);
            list.is_some_and(|l| l.iter().any(|e| e.state != EndpointState::Draining))
        };
        let paths = config.routes().map(|(name, route)| {
            let path = Path {
                route: name.clone(),
                live: accepts_requests(&route.service),
            };
            (Arc::from(path_key(&route.path)), path)
        });
        Self {
            generation: 0,
            local,
            serving,
            paths: paths.collect(),
            config,
            endpoints,
        }
    }

    /// Returns the backend servers of `service` in any state.
    #[must_use]
    pub fn endpoints_of(&self, service: &ServiceName) -> &[Endpoint] {
        self.endpoints.get(service).map_or(&[], AsRef::as_ref)
    }

    /// Returns the route for `path`, if it is live: the one with the longest prefix of whole path
    /// segments.
    ///
    /// There is no fallback to a shorter route if that one is not live, since the request would
    /// reach another service.
    #[must_use]
    pub fn route_for(&self, path: &str) -> Option<(&RouteName, &Route)> {
        let found = self.find_path(path).filter(|found| found.live)?;
        self.find_route(&found.route)
    }

    /// Returns the declared route for `path`, live or not.
    #[must_use]
    pub fn declared_route_for(&self, path: &str) -> Option<(&RouteName, &Route)> {
        self.find_route(&self.find_path(path)?.route)
    }

    /// Returns the names of the live routes, ordered by path.
    pub fn live_routes(&self) -> impl Iterator<Item = &RouteName> {
        let live = self.paths.values().filter(|path| path.live);
        live.map(|path| &path.route)
    }

    fn find_path(&self, path: &str) -> Option<&Path> {
        let path = path.split(['?', '#']).next().unwrap_or_default();
        let mut key = path_key(path);
        loop {
            if let Some(found) = self.paths.get(key) {
                return Some(found);
            }
            key = &key[..key.rfind('/')?];
        }
    }

    fn find_route(&self, name: &RouteName) -> Option<(&RouteName, &Route)> {
        let resource = Resource::Route(name.clone());
        let (resource, declaration) = self.config.declarations().get_key_value(&resource)?;
        match (resource, declaration.as_ref()) {
            (Resource::Route(name), Declaration::Route(route)) => Some((name, route)),
            _ => None,
        }
    }
}

/// Strips a trailing slash: `/a/` and `/a` match the same requests.
fn path_key(path: &str) -> &str {
    path.strip_suffix('/').unwrap_or(path)
}
