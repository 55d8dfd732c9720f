//! What a load run is started with.

use std::net::SocketAddr;

use marigold_types::{Interval, Rate};

use super::LoadRoute;

/// The settings of one load run.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// The daemons that are called, in turn by chance; none of them is preferred.
    pub targets: Vec<SocketAddr>,
    /// The kinds of calls.
    pub routes: Vec<LoadRoute>,
    /// Calls a second.
    pub rate: Rate,
    /// How long calls are made.
    pub duration: Interval,
    /// Whether connections are used again.
    pub keep_alive: bool,
    /// Whether the targets are backend servers, which name no outcome.
    pub direct: bool,
    /// How long a call may take before its caller gives it up.
    pub timeout: Interval,
    /// The most calls at once; a call that is due beyond it is not sent, and counted so.
    pub in_flight: usize,
    /// The seed of the choices of route and target.
    pub seed: u64,
}

impl LoadPlan {
    /// Plans calls of `routes` at `targets`.
    #[must_use]
    pub fn new(
        targets: Vec<SocketAddr>,
        routes: Vec<LoadRoute>,
        rate: Rate,
        duration: Interval,
    ) -> Self {
        Self {
            targets,
            routes,
            rate,
            duration,
            keep_alive: true,
            direct: false,
            timeout: Interval::from_millis(10_000),
            in_flight: 10_000,
            seed: 1,
        }
    }

    /// Returns how many calls fall due.
    #[must_use]
    pub fn calls(&self) -> u64 {
        let millis = u64::try_from(self.duration.duration().as_millis()).unwrap_or(u64::MAX);
        self.rate.0.saturating_mul(millis) / 1_000
    }
}
