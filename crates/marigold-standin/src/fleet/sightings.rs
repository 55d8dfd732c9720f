//! When each daemon was first seen to hold a version.

use std::time::Duration;

use marigold_types::Version;
use tokio::time::Instant;

use super::Convergence;

/// Each daemon's versions with the time at which each was first seen.
pub struct Sightings {
    start: Instant,
    seen: Vec<Vec<(Version, Duration)>>,
    up: Vec<bool>,
}

impl Sightings {
    /// Starts with what the daemons hold at `start`.
    pub fn new(start: Instant, versions: &[Option<Version>]) -> Self {
        let mut sightings = Self {
            start,
            up: versions.iter().map(Option::is_some).collect(),
            seen: vec![Vec::new(); versions.len()],
        };
        sightings.look(versions);
        sightings
    }

    /// Notes what the daemons hold now; a daemon without a version is down.
    pub fn look(&mut self, versions: &[Option<Version>]) {
        let now = self.start.elapsed();
        for (at, version) in versions.iter().enumerate() {
            self.up[at] = version.is_some();
            if let Some(version) = version
                && self.seen[at].last().is_none_or(|(last, _)| last < version)
            {
                self.seen[at].push((*version, now));
            }
        }
    }

    fn first(&self, at: usize, version: Version) -> Option<Duration> {
        let found = self.seen[at].iter().find(|(held, _)| *held >= version);
        found.map(|(_, time)| *time)
    }

    /// Returns whether every daemon that is up has held `version` or a later one.
    pub fn all_hold(&self, version: Version) -> bool {
        let mut up = (0..self.seen.len()).filter(|at| self.up[*at]);
        up.all(|at| self.first(at, version).is_some())
    }

    /// Returns when each daemon that is up first held `version` or a later one.
    pub fn convergence(&self, version: Version) -> Convergence {
        let up: Vec<usize> = (0..self.seen.len()).filter(|at| self.up[*at]).collect();
        let mut times: Vec<_> = up
            .iter()
            .filter_map(|at| self.first(*at, version))
            .collect();
        times.sort_unstable();
        Convergence {
            version,
            missing: up.len() - times.len(),
            times,
        }
    }
}
