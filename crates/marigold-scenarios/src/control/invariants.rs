//! Checks what must always hold.

use std::collections::BTreeMap;

use marigold_control::{EndpointState, View};
use marigold_types::{Address, RouteName, Version};

use super::Mesh;

/// A promise that was broken.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// A daemon serves an older version than its address served before.
    #[error("{address} moved back from version {held} to {served}")]
    VersionDecreased {
        /// The daemon.
        address: Address,
        /// What it served before.
        held: Version,
        /// What it serves now.
        served: Version,
    },
    /// A daemon's configuration is not whole.
    #[error("{address} holds a part of version {version}")]
    IncompleteConfig {
        /// The daemon.
        address: Address,
        /// The version.
        version: Version,
    },
    /// A live route has no service or no backend server that takes work.
    #[error("{address} routes {route} to what it does not have")]
    UnusableRoute {
        /// The daemon.
        address: Address,
        /// The route.
        route: RouteName,
    },
}

/// Remembers what each address has served, across its restarts.
#[derive(Debug, Default)]
pub struct InvariantChecker {
    served: BTreeMap<Address, Version>,
}

impl InvariantChecker {
    /// Checks every running daemon.
    ///
    /// # Errors
    ///
    /// The first promise that is broken.
    pub fn check(&mut self, mesh: &Mesh) -> Result<(), Violation> {
        for plane in mesh.planes() {
            let view = plane.view();
            self.check_version(&view)?;
            check_whole(&view)?;
        }
        Ok(())
    }

    fn check_version(&mut self, view: &View) -> Result<(), Violation> {
        if !view.serving {
            return Ok(());
        }
        let address = view.local.address;
        let served = view.config.version;
        let held = self.served.entry(address).or_default();
        if served < *held {
            return Err(Violation::VersionDecreased {
                address,
                held: *held,
                served,
            });
        }
        *held = served;
        Ok(())
    }
}

fn check_whole(view: &View) -> Result<(), Violation> {
    let address = view.local.address;
    let version = view.config.version;
    if !view.config.is_complete() {
        return Err(Violation::IncompleteConfig { address, version });
    }
    for (route, declared) in view.config.routes() {
        let endpoints = view.endpoints_of(&declared.service);
        let takes = endpoints.iter().any(|e| e.state != EndpointState::Draining);
        let live = view.live_routes().any(|name| name == route);
        let known = view.config.service(&declared.service).is_some();
        if live && !(takes && known) {
            let route = route.clone();
            return Err(Violation::UnusableRoute { address, route });
        }
    }
    Ok(())
}
