//! Chooses the executors that an ingress keeps links to.
//!
//! Answers the load pattern of many daemons that start at once: a link from each to each grows with the
//! square of their number, and so do the bytes between data centres that open them. See
//! docs/design/platform.md.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use marigold_types::{DataCentre, Digest, ServiceName};

use crate::Directory;

/// Links to executors of one service in each other data centre. Four reach some that have room when one
/// or two of them are full or away.
const REMOTE_LINKS: usize = 4;

/// Picks the executors of one ingress, evenly over all of them.
#[derive(Debug, Clone)]
pub struct LinkSelector {
    own: SocketAddr,
    data_centre: DataCentre,
}

impl LinkSelector {
    /// Builds the choice of the ingress at `own` in `data_centre`.
    #[must_use]
    pub fn new(own: SocketAddr, data_centre: DataCentre) -> Self {
        Self { own, data_centre }
    }

    /// Returns the executors to keep links to: all of the own data centre, and of each service a few in
    /// each other one, passing over those that are lost.
    ///
    /// Which few differs by ingress, by a hash of both addresses, so that executors have about as many
    /// ingresses each and a daemon that comes or goes changes few links.
    pub fn choose(
        &self,
        directory: &Directory,
        is_lost: impl Fn(SocketAddr) -> bool,
    ) -> BTreeSet<SocketAddr> {
        let mut chosen = BTreeSet::new();
        let mut remote: BTreeMap<(&DataCentre, &ServiceName), Vec<_>> = BTreeMap::new();
        for site in directory.all() {
            if site.data_centre == self.data_centre {
                chosen.insert(site.address);
            } else if !is_lost(site.address) {
                let group = remote.entry((&site.data_centre, &site.service));
                let place = (self.distance(site.address), site.address);
                group.or_default().push(place);
            }
        }
        for mut group in remote.into_values() {
            group.sort_unstable();
            let nearest = group.into_iter().take(REMOTE_LINKS);
            chosen.extend(nearest.map(|(_, address)| address));
        }
        chosen
    }

    fn distance(&self, other: SocketAddr) -> Digest {
        Digest::of(format!("{}>{other}", self.own).as_bytes())
    }
}
