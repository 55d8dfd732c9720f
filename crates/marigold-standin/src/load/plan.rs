//! Configuration of a load run.

use std::net::SocketAddr;

use marigold_types::{Interval, Rate};

use super::LoadRoute;

/// The configuration of one load run.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// The addresses to call. Each call picks one uniformly at random.
    pub targets: Vec<SocketAddr>,
    /// The kinds of calls. Each call picks one at random by weight.
    pub routes: Vec<LoadRoute>,
    /// The number of calls due per second.
    pub rate: Rate,
    /// The time during which calls are due.
    pub duration: Interval,
    /// Whether connections are reused.
    pub keep_alive: bool,
    /// Whether the targets are backend servers, whose responses have no outcome header.
    pub direct: bool,
    /// The time after which a caller gives up a call.
    pub timeout: Interval,
    /// The maximum number of calls in flight. A call that is due beyond it is counted as unsent.
    pub in_flight: usize,
    /// The seed for the choices of route and target.
    pub seed: u64,
}

impl LoadPlan {
    /// Returns a configuration with reused connections, a timeout of 10 s and up to 10,000 calls in flight.
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

    /// Returns the number of calls that are due during the run.
    #[must_use]
    pub fn calls(&self) -> u64 {
        let millis = u64::try_from(self.duration.duration().as_millis()).unwrap_or(u64::MAX);
        self.rate.0.saturating_mul(millis) / 1_000
    }
}
