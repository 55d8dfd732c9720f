//! Selects the executors that an ingress keeps connections to.
//!
//! Load pattern: many daemons start at once. In a full mesh, the number of links and the cross-data-centre
//! traffic to open them grow with the square of the number of daemons. See docs/design/platform.md.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use marigold_types::{DataCentre, Digest, ServiceName};

use crate::Directory;

/// The number of links to executors of each service in each remote data centre. With four, some executor
/// has capacity even when one or two are full or unreachable.
const REMOTE_LINKS_PER_SERVICE: usize = 4;

/// Deterministic subsetting by rendezvous hashing, for one ingress.
#[derive(Debug, Clone)]
pub struct LinkSelector {
    own: SocketAddr,
    data_centre: DataCentre,
}

impl LinkSelector {
    /// Builds the selector for the ingress at `own` in `data_centre`.
    #[must_use]
    pub fn new(own: SocketAddr, data_centre: DataCentre) -> Self {
        Self { own, data_centre }
    }

    /// Returns the executors to keep links to: all in the local data centre, and a few of each service in
    /// each remote data centre, excluding unreachable ones.
    ///
    /// The subset of an ingress depends on a hash of both addresses. Thus links are spread evenly over
    /// executors, and a daemon that joins or leaves changes few links.
    pub fn choose(
        &self,
        directory: &Directory,
        is_unreachable: impl Fn(SocketAddr) -> bool,
    ) -> BTreeSet<SocketAddr> {
        let mut chosen = BTreeSet::new();
        let mut remote: BTreeMap<(&DataCentre, &ServiceName), Vec<_>> = BTreeMap::new();
        for site in directory.all() {
            if site.data_centre == self.data_centre {
                chosen.insert(site.address);
            } else if !is_unreachable(site.address) {
                let group = remote.entry((&site.data_centre, &site.service));
                let candidate = (self.order_key(site.address), site.address);
                group.or_default().push(candidate);
            }
        }
        for mut group in remote.into_values() {
            group.sort_unstable();
            let first = group.into_iter().take(REMOTE_LINKS_PER_SERVICE);
            chosen.extend(first.map(|(_, address)| address));
        }
        chosen
    }

    fn order_key(&self, other: SocketAddr) -> Digest {
        Digest::of(format!("{}>{other}", self.own).as_bytes())
    }
}
