//! The interface of load balancing algorithms.

use rand::Rng;

/// The backend servers to choose from, identified by index.
pub trait Candidates {
    /// Returns the number of candidates.
    fn count(&self) -> usize;

    /// Returns the load of a candidate with one more request, in requests per slot; none if it must
    /// not be chosen.
    fn load(&self, index: usize) -> Option<f64>;
}

/// A load balancing algorithm.
pub trait Balancer: Send {
    /// Returns the index of the chosen candidate, or none if none may be chosen.
    fn choose(&mut self, candidates: &dyn Candidates, rng: &mut dyn Rng) -> Option<usize>;
}
