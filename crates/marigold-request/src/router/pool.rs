//! The backend servers of one service, by how near they are.

use std::sync::Arc;

use marigold_control::{Endpoint, EndpointState, View};
use marigold_types::{DataCentre, Region, ServiceName};

/// How many rings of distance there are: the own data centre, the own region, anywhere.
pub const RINGS: usize = 3;

/// One service's backend servers, sorted out once for each published list.
#[derive(Debug, Clone)]
pub struct Pool {
    list: Arc<[Endpoint]>,
    /// Indexes into the list by ring: those that take work.
    ready: [Vec<usize>; RINGS],
    /// Indexes into the list by ring: those from which signals are missing.
    suspect: [Vec<usize>; RINGS],
}

impl Pool {
    /// Sorts `list` by its distance from a daemon in `data_centre` of `region`.
    pub fn new(list: Arc<[Endpoint]>, data_centre: &DataCentre, region: &Region) -> Self {
        let mut ready: [Vec<usize>; RINGS] = Default::default();
        let mut suspect: [Vec<usize>; RINGS] = Default::default();
        for (index, endpoint) in list.iter().enumerate() {
            let ring = ring(endpoint, data_centre, region);
            match endpoint.state {
                EndpointState::Ready => ready[ring].push(index),
                EndpointState::Suspect => suspect[ring].push(index),
                EndpointState::Draining => {}
            }
        }
        Self {
            list,
            ready,
            suspect,
        }
    }

    /// Returns whether this was made from the list in `view`.
    pub fn is_of(&self, view: &View, service: &ServiceName) -> bool {
        let list = view.endpoints.get(service);
        list.is_some_and(|list| Arc::ptr_eq(list, &self.list))
    }

    /// Returns a backend server.
    pub fn endpoint(&self, index: usize) -> &Endpoint {
        &self.list[index]
    }

    /// Returns every backend server.
    pub fn endpoints(&self) -> &[Endpoint] {
        &self.list
    }

    /// Returns the indexes of those that take work in `ring`.
    pub fn ready(&self, ring: usize) -> &[usize] {
        &self.ready[ring]
    }

    /// Returns the indexes of those in `ring` from which signals are missing.
    pub fn suspect(&self, ring: usize) -> &[usize] {
        &self.suspect[ring]
    }
}

fn ring(endpoint: &Endpoint, data_centre: &DataCentre, region: &Region) -> usize {
    if endpoint.data_centre == *data_centre {
        0
    } else if endpoint.region == *region {
        1
    } else {
        2
    }
}
