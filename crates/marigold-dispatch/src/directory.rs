//! The daemons that are known, by the platform's records.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use marigold_types::{DataCentre, ServiceName, SlotCount};
use serde::{Deserialize, Serialize};

use crate::LinkRate;

/// A daemon with the backend server beside it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Site {
    /// Where the daemon takes calls of other daemons.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// The service of the backend server beside it.
    pub service: ServiceName,
    /// How many requests that one runs at once.
    pub slots: SlotCount,
    /// How much its link carries.
    pub link: LinkRate,
}

/// Every daemon that has joined and not left.
///
/// An entry is no sign of life: whether a daemon answers is learned from calls to it.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    sites: BTreeMap<SocketAddr, Site>,
    generation: u64,
}

impl Directory {
    /// Returns a number that grows with each change.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns how many daemons are known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.sites.len()
    }

    /// Returns whether no daemon is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.sites.is_empty()
    }

    /// Returns the daemon at `address`.
    #[must_use]
    pub fn get(&self, address: SocketAddr) -> Option<&Site> {
        self.sites.get(&address)
    }

    /// Returns the daemons beside backend servers of `service`.
    pub fn of<'a>(&'a self, service: &'a ServiceName) -> impl Iterator<Item = &'a Site> {
        self.sites
            .values()
            .filter(move |site| site.service == *service)
    }

    /// Returns all daemons in the order of their addresses.
    pub fn all(&self) -> impl Iterator<Item = &Site> {
        self.sites.values()
    }

    /// Takes in a daemon's record.
    pub fn put(&mut self, site: Site) {
        if self.sites.get(&site.address) != Some(&site) {
            self.generation += 1;
            self.sites.insert(site.address, site);
        }
    }

    /// Forgets a daemon.
    pub fn remove(&mut self, address: SocketAddr) {
        if self.sites.remove(&address).is_some() {
            self.generation += 1;
        }
    }
}
