//! Selects the servers that test a version.
//!
//! Load pattern: a version is sound until a server is nearly full. A small share of the traffic, spread over all
//! servers, would never fill one. All ingresses therefore fill the same servers, one after the other.

use std::net::SocketAddr;
use std::time::Duration;

use marigold_types::Digest;

/// The time after which the tests begin with the next server, so that several servers give evidence.
const ROTATION_INTERVAL: Duration = Duration::from_millis(700);

/// The order in which the servers of a version are filled, at one time of its roll-out.
#[derive(Debug, Clone, Copy)]
pub struct CanaryWindow {
    /// Number of rotations since the roll-out began.
    turn: u128,
}

impl CanaryWindow {
    /// Returns the window at `age` of the roll-out.
    #[must_use]
    pub fn at(age: Duration) -> Self {
        let turn = age.as_millis() / ROTATION_INTERVAL.as_millis();
        Self { turn }
    }

    /// Returns the servers in the order in which they are to be filled.
    #[must_use]
    pub fn order(&self, servers: impl Iterator<Item = SocketAddr>) -> Vec<SocketAddr> {
        let mut ordered: Vec<_> = servers.collect();
        ordered.sort_by_cached_key(|address| Digest::of(address.to_string().as_bytes()));
        if !ordered.is_empty() {
            let first = usize::try_from(self.turn % ordered.len() as u128).unwrap_or_default();
            ordered.rotate_left(first);
        }
        ordered
    }
}
