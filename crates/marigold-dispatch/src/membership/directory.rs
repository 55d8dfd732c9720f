//! The directory of daemons, built from the records in the platform's store.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use marigold_types::{DataCentre, ServiceName, SlotCount};
use serde::{Deserialize, Serialize};

use crate::{Departure, LinkRate, ServerVersion};

/// The record of a daemon and the backend server beside it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Site {
    /// The address that accepts calls from other daemons.
    pub address: SocketAddr,
    /// The data centre of the daemon.
    pub data_centre: DataCentre,
    /// The service that the backend server implements.
    pub service: ServiceName,
    /// The software version of the backend server, or `None` if it has not announced one.
    #[serde(default)]
    pub version: Option<ServerVersion>,
    /// The number of requests that the backend server processes concurrently.
    pub slots: SlotCount,
    /// The bandwidth of the daemon's network link.
    pub link: LinkRate,
    /// The instance of the backend server that leaves, or `None` while it serves.
    #[serde(default)]
    pub leaving: Option<Departure>,
}

/// All daemons that have joined and not left.
///
/// An entry does not mean that the daemon is reachable; that is determined from calls to it.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    sites: BTreeMap<SocketAddr, Site>,
    generation: u64,
}

impl Directory {
    /// Returns a number that increases with each change.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the number of daemons.
    #[must_use]
    pub fn len(&self) -> usize {
        self.sites.len()
    }

    /// Returns whether the directory has no daemons.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.sites.is_empty()
    }

    /// Returns the record of the daemon at `address`.
    #[must_use]
    pub fn get(&self, address: SocketAddr) -> Option<&Site> {
        self.sites.get(&address)
    }

    /// Returns the daemons whose backend servers implement `service`.
    pub fn of<'a>(&'a self, service: &'a ServiceName) -> impl Iterator<Item = &'a Site> {
        self.sites
            .values()
            .filter(move |site| site.service == *service)
    }

    /// Returns all daemons ordered by address.
    pub fn all(&self) -> impl Iterator<Item = &Site> {
        self.sites.values()
    }

    /// Inserts or replaces the record of a daemon.
    pub fn put(&mut self, site: Site) {
        if self.sites.get(&site.address) != Some(&site) {
            self.generation += 1;
            self.sites.insert(site.address, site);
        }
    }

    /// Removes the record of the daemon at `address`.
    pub fn remove(&mut self, address: SocketAddr) {
        if self.sites.remove(&address).is_some() {
            self.generation += 1;
        }
    }
}
