//! Selects the daemon that reads the platform's store for a data centre.
//!
//! Load pattern: a configuration of hundreds of kilobytes changes several times per second, and a hundred
//! daemons read it over low-bandwidth links. One daemon in each data centre reads it and relays the changes
//! to the others.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use marigold_types::DataCentre;
use tokio::time::Instant;

use crate::Directory;

/// How long a daemon that fell behind is excluded from selection as reader.
const EXCLUSION_TIME: Duration = Duration::from_secs(3);

/// Where this daemon gets store updates from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateSource {
    /// This daemon reads the store itself.
    Store,
    /// This daemon receives updates from another daemon in its data centre.
    Daemon(SocketAddr),
}

/// Selects the reader of a data centre without coordination: every daemon sorts the same directory in the
/// same order and takes the first reachable daemon.
#[derive(Debug)]
pub struct RelaySelector {
    own: SocketAddr,
    data_centre: DataCentre,
    excluded_until: HashMap<SocketAddr, Instant>,
}

impl RelaySelector {
    /// Builds the selector for the daemon at `own` in `data_centre`.
    #[must_use]
    pub fn new(own: SocketAddr, data_centre: DataCentre) -> Self {
        Self {
            own,
            data_centre,
            excluded_until: HashMap::new(),
        }
    }

    /// Returns the address of this daemon.
    #[must_use]
    pub fn own(&self) -> SocketAddr {
        self.own
    }

    /// Returns the data centre of this daemon.
    #[must_use]
    pub fn data_centre(&self) -> &DataCentre {
        &self.data_centre
    }

    /// Excludes a daemon that fell behind from selection for a few seconds.
    pub fn exclude(&mut self, address: SocketAddr, now: Instant) {
        self.excluded_until.insert(address, now + EXCLUSION_TIME);
    }

    /// Selects the source of updates. `is_up` returns whether a daemon is reachable.
    ///
    /// The link with the most bandwidth goes first, since the reader transfers the whole configuration.
    pub fn choose(
        &mut self,
        directory: &Directory,
        is_up: impl Fn(SocketAddr) -> bool,
        now: Instant,
    ) -> UpdateSource {
        self.excluded_until.retain(|_, until| *until > now);
        let first = directory
            .all()
            .filter(|site| site.data_centre == self.data_centre)
            .filter(|site| !self.excluded_until.contains_key(&site.address))
            .filter(|site| site.address == self.own || is_up(site.address))
            .min_by_key(|site| (Reverse(site.link), site.address));
        match first {
            Some(site) if site.address != self.own => UpdateSource::Daemon(site.address),
            _ => UpdateSource::Store,
        }
    }
}
