//! The backend servers of one service, grouped by locality.

use std::sync::Arc;

use marigold_control::{Endpoint, EndpointState, View};
use marigold_types::{DataCentre, Region, ServiceName};

/// The number of locality tiers: same data centre, same region, anywhere.
pub const TIERS: usize = 3;

/// The backend servers of one service, grouped once for each published list.
#[derive(Debug, Clone)]
pub struct BackendPool {
    list: Arc<[Endpoint]>,
    /// For each tier, the indexes of backend servers that take work.
    ready: [Vec<usize>; TIERS],
    /// For each tier, the indexes of backend servers whose signals are missing.
    suspect: [Vec<usize>; TIERS],
}

impl BackendPool {
    /// Groups `list` by locality relative to a daemon in `data_centre` of `region`.
    pub fn new(list: Arc<[Endpoint]>, data_centre: &DataCentre, region: &Region) -> Self {
        let mut ready: [Vec<usize>; TIERS] = Default::default();
        let mut suspect: [Vec<usize>; TIERS] = Default::default();
        for (index, endpoint) in list.iter().enumerate() {
            let tier = tier(endpoint, data_centre, region);
            match endpoint.state {
                EndpointState::Ready => ready[tier].push(index),
                EndpointState::Suspect => suspect[tier].push(index),
                EndpointState::Draining => {}
            }
        }
        Self {
            list,
            ready,
            suspect,
        }
    }

    /// Returns whether the pool was built from the list in `view`.
    pub fn is_current(&self, view: &View, service: &ServiceName) -> bool {
        let list = view.endpoints.get(service);
        list.is_some_and(|list| Arc::ptr_eq(list, &self.list))
    }

    /// Returns the backend server at `index` of the published list.
    pub fn endpoint(&self, index: usize) -> &Endpoint {
        &self.list[index]
    }

    /// Returns the published list of backend servers.
    pub fn endpoints(&self) -> &[Endpoint] {
        &self.list
    }

    /// Returns the indexes of the backend servers in `tier` that take work.
    pub fn ready(&self, tier: usize) -> &[usize] {
        &self.ready[tier]
    }

    /// Returns the indexes of the backend servers in `tier` whose signals are missing.
    pub fn suspect(&self, tier: usize) -> &[usize] {
        &self.suspect[tier]
    }
}

fn tier(endpoint: &Endpoint, data_centre: &DataCentre, region: &Region) -> usize {
    if endpoint.data_centre == *data_centre {
        0
    } else if endpoint.region == *region {
        1
    } else {
        2
    }
}
