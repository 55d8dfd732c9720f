//! What the request path reads.

use std::collections::BTreeMap;
use std::sync::Arc;

use marigold_config::{Config, Declaration, Resource, Route};
use marigold_types::{InstanceId, RouteName, ServiceName};

use crate::{Endpoint, EndpointState};

/// A published snapshot of the board; it is swapped whole and never changed.
#[derive(Debug, Clone, PartialEq)]
pub struct View {
    /// Grows with each snapshot that differs from the one before.
    pub generation: u64,
    /// The daemon's own life.
    pub local: InstanceId,
    /// Whether the daemon may serve: it holds at least what it is known to have held before.
    pub serving: bool,
    /// The configuration in force here.
    pub config: Arc<Config>,
    /// The backend servers of each declared service, ordered by address.
    pub endpoints: BTreeMap<ServiceName, Arc<[Endpoint]>>,
    /// The route of each path, live or not.
    paths: BTreeMap<Arc<str>, Path>,
}

/// The route that a path leads to.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Path {
    route: RouteName,
    live: bool,
}

impl View {
    /// Builds a snapshot; endpoints of services that `config` does not declare are left out.
    #[must_use]
    pub fn new(
        local: InstanceId,
        serving: bool,
        config: Arc<Config>,
        mut endpoints: BTreeMap<ServiceName, Arc<[Endpoint]>>,
    ) -> Self {
        endpoints.retain(|service, list| config.service(service).is_some() && !list.is_empty());
        let takes_work = |service: &ServiceName| {
            let list = endpoints.get(service);
            list.is_some_and(|l| l.iter().any(|e| e.state != EndpointState::Draining))
        };
        let paths = config.routes().map(|(name, route)| {
            let path = Path {
                route: name.clone(),
                live: takes_work(&route.service),
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

    /// Returns the backend servers of `service`, whatever their state.
    #[must_use]
    pub fn endpoints_of(&self, service: &ServiceName) -> &[Endpoint] {
        self.endpoints.get(service).map_or(&[], AsRef::as_ref)
    }

    /// Returns the live route that takes a request for `path`: the longest one that ends where a
    /// segment of the path does.
    ///
    /// A route that is not live is not passed over for a shorter one, which would lead the request
    /// to another service.
    #[must_use]
    pub fn route_for(&self, path: &str) -> Option<(&RouteName, &Route)> {
        let found = self.find_path(path).filter(|found| found.live)?;
        self.find_route(&found.route)
    }

    /// Returns the declared route that takes a request for `path`, live or not.
    #[must_use]
    pub fn declared_route_for(&self, path: &str) -> Option<(&RouteName, &Route)> {
        self.find_route(&self.find_path(path)?.route)
    }

    /// Returns the names of the live routes in the order of their paths.
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

/// Drops a closing slash: `/a/` and `/a` take the same requests.
fn path_key(path: &str) -> &str {
    path.strip_suffix('/').unwrap_or(path)
}
