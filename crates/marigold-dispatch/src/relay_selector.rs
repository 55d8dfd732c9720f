//! Who reads the platform's store for a data centre.
//!
//! Answers the load pattern in which a configuration of hundreds of kilobytes changes several times a
//! second and each of a hundred daemons reads it over a narrow link: one daemon in each data centre
//! reads, and the others get from it what has changed.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use marigold_types::DataCentre;
use tokio::time::Instant;

use crate::Directory;

/// How long a daemon that fell behind is passed over as reader.
const PASS_OVER: Duration = Duration::from_secs(3);

/// Who brings news of the store to this daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateSource {
    /// This daemon reads the store itself.
    Store,
    /// This daemon follows another one of its data centre.
    Daemon(SocketAddr),
}

/// Chooses the reader of a data centre without any message: every daemon puts the same directory in
/// the same order and takes the first that it can reach.
#[derive(Debug)]
pub struct RelaySelector {
    own: SocketAddr,
    data_centre: DataCentre,
    passed_over: HashMap<SocketAddr, Instant>,
}

impl RelaySelector {
    /// Builds the choice of the daemon at `own` in `data_centre`.
    #[must_use]
    pub fn new(own: SocketAddr, data_centre: DataCentre) -> Self {
        Self {
            own,
            data_centre,
            passed_over: HashMap::new(),
        }
    }

    /// Passes over a daemon for a while, since it fell behind.
    pub fn exclude(&mut self, address: SocketAddr, now: Instant) {
        self.passed_over.insert(address, now + PASS_OVER);
    }

    /// Chooses the source of news, where `is_up` tells whether a daemon can be reached.
    ///
    /// The widest link goes first, since the reader carries the whole configuration.
    pub fn choose(
        &mut self,
        directory: &Directory,
        is_up: impl Fn(SocketAddr) -> bool,
        now: Instant,
    ) -> UpdateSource {
        self.passed_over.retain(|_, until| *until > now);
        let first = directory
            .all()
            .filter(|site| site.data_centre == self.data_centre)
            .filter(|site| !self.passed_over.contains_key(&site.address))
            .filter(|site| site.address == self.own || is_up(site.address))
            .min_by_key(|site| (Reverse(site.link), site.address));
        match first {
            Some(site) if site.address != self.own => UpdateSource::Daemon(site.address),
            _ => UpdateSource::Store,
        }
    }
}
