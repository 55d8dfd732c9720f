//! Observation of the versions that daemons hold over time.

use std::time::Duration;

use marigold_types::Version;
use tokio::time::Instant;

use super::Convergence;

/// Records when each daemon was first observed to hold each version.
pub struct VersionTracker {
    start: Instant,
    first_seen: Vec<Vec<(Version, Duration)>>,
    up: Vec<bool>,
}

impl VersionTracker {
    /// Creates a tracker with the versions that the daemons hold at `start`.
    pub fn new(start: Instant, versions: &[Option<Version>]) -> Self {
        let mut tracker = Self {
            start,
            up: versions.iter().map(Option::is_some).collect(),
            first_seen: vec![Vec::new(); versions.len()],
        };
        tracker.observe(versions);
        tracker
    }

    /// Records the versions that the daemons hold now; `None` means that a daemon is down.
    pub fn observe(&mut self, versions: &[Option<Version>]) {
        let now = self.start.elapsed();
        for (index, version) in versions.iter().enumerate() {
            self.up[index] = version.is_some();
            if let Some(version) = version
                && self.first_seen[index]
                    .last()
                    .is_none_or(|(last, _)| last < version)
            {
                self.first_seen[index].push((*version, now));
            }
        }
    }

    fn first_held_after(&self, index: usize, version: Version) -> Option<Duration> {
        let found = self.first_seen[index]
            .iter()
            .find(|(held, _)| *held >= version);
        found.map(|(_, time)| *time)
    }

    /// Returns whether every running daemon has held `version` or a later one.
    pub fn all_hold(&self, version: Version) -> bool {
        let mut up = (0..self.first_seen.len()).filter(|index| self.up[*index]);
        up.all(|index| self.first_held_after(index, version).is_some())
    }

    /// Returns the times at which the running daemons first held `version` or a later one.
    pub fn convergence(&self, version: Version) -> Convergence {
        let up: Vec<usize> = (0..self.first_seen.len())
            .filter(|index| self.up[*index])
            .collect();
        let mut times: Vec<_> = up
            .iter()
            .filter_map(|index| self.first_held_after(*index, version))
            .collect();
        times.sort_unstable();
        Convergence {
            version,
            missing: up.len() - times.len(),
            times,
        }
    }
}
