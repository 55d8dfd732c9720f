//! Invariants that are checked throughout a scenario.

use std::collections::BTreeMap;

use marigold_control::{EndpointState, View};
use marigold_types::{Address, RouteName, Version};

use super::Mesh;

/// A violated invariant.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// A daemon serves an older version than was served at its address before.
    #[error("{address} moved back from version {previous} to version {served}")]
    VersionDecreased {
        /// The daemon.
        address: Address,
        /// The newest version served at this address before.
        previous: Version,
        /// The version served now.
        served: Version,
    },
    /// A daemon holds an incomplete configuration.
    #[error("{address} holds an incomplete configuration of version {version}")]
    IncompleteConfig {
        /// The daemon.
        address: Address,
        /// The version of the configuration.
        version: Version,
    },
    /// A live route has no declared service, or no backend server that accepts new requests.
    #[error("{address} has the live route {route} without a declared service or a backend server")]
    UnusableRoute {
        /// The daemon.
        address: Address,
        /// The route.
        route: RouteName,
    },
}

/// Checks running daemons, and tracks the newest version served at each address across restarts.
#[derive(Debug, Default)]
pub struct InvariantChecker {
    served: BTreeMap<Address, Version>,
}

impl InvariantChecker {
    /// Checks the invariants of every running daemon.
    ///
    /// # Errors
    ///
    /// Returns the first violation found.
    pub fn check(&mut self, mesh: &Mesh) -> Result<(), Violation> {
        for plane in mesh.planes() {
            let view = plane.view();
            self.check_version(&view)?;
            check_config(&view)?;
        }
        Ok(())
    }

    fn check_version(&mut self, view: &View) -> Result<(), Violation> {
        if !view.serving {
            return Ok(());
        }
        let address = view.local.address;
        let served = view.config.version;
        let previous = self.served.entry(address).or_default();
        if served < *previous {
            return Err(Violation::VersionDecreased {
                address,
                previous: *previous,
                served,
            });
        }
        *previous = served;
        Ok(())
    }
}

fn check_config(view: &View) -> Result<(), Violation> {
    let address = view.local.address;
    let version = view.config.version;
    if !view.config.is_complete() {
        return Err(Violation::IncompleteConfig { address, version });
    }
    for (route, declared) in view.config.routes() {
        let endpoints = view.endpoints_of(&declared.service);
        let has_server = endpoints.iter().any(|e| e.state != EndpointState::Draining);
        let is_live = view.live_routes().any(|name| name == route);
        let is_declared = view.config.service(&declared.service).is_some();
        if is_live && !(has_server && is_declared) {
            let route = route.clone();
            return Err(Violation::UnusableRoute { address, route });
        }
    }
    Ok(())
}
