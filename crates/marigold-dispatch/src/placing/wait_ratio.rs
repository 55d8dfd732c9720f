//! How long requests of one kind wait at executors, relative to what the queues there let expect.
//!
//! Load pattern: backend servers are nearly full, and the executor serves urgent kinds first. The same queue then means no
//! wait for an urgent request and a long one for another.

/// The sum of expected waits, in run times, at which both sums are halved, so that the latest requests count most.
const MAX_EXPECTED: f64 = 16.0;
/// The sum of expected waits that the initial estimate counts for.
const INITIAL_EXPECTED: f64 = 2.0;
/// The bounds of the ratio, so that a few reports that came late have limited effect.
const RANGE: (f64, f64) = (0.25, 6.0);
/// The fraction of a run time that a fully occupied server adds to the wait besides its queue, since requests
/// arrive in bursts.
const CONTENTION_RATIO: f64 = 0.25;

/// The waits of one kind of request, relative to those in a queue that is served in the order of arrival.
#[derive(Debug, Clone, Copy)]
pub struct WaitRatio {
    /// The sum of the waits that the queues let expect, in run times of the servers.
    expected: f64,
    /// The sum of the waits.
    waited: f64,
}

impl Default for WaitRatio {
    fn default() -> Self {
        Self {
            expected: INITIAL_EXPECTED,
            waited: INITIAL_EXPECTED,
        }
    }
}

impl WaitRatio {
    /// Records that a request waited for `wait` run times at an executor that seemed to have `occupancy` requests per slot,
    /// itself included.
    pub fn observe(&mut self, occupancy: f64, wait: f64) {
        self.expected += queue_wait(occupancy);
        self.waited += wait;
        if self.expected > MAX_EXPECTED {
            self.expected /= 2.0;
            self.waited /= 2.0;
        }
    }

    /// Returns the ratio.
    #[must_use]
    pub fn ratio(&self) -> f64 {
        (self.waited / self.expected).clamp(RANGE.0, RANGE.1)
    }
}

/// Returns the wait of a request that is served in the order of arrival, in run times of the server.
#[must_use]
pub fn queue_wait(occupancy: f64) -> f64 {
    (occupancy - 1.0).max(0.0) + CONTENTION_RATIO * occupancy.min(1.0).powi(2)
}
