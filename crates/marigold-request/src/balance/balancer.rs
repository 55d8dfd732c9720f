//! The border behind which the ways to balance differ.

use rand::Rng;

/// The backend servers to choose from, by index.
pub trait Candidates {
    /// Returns how many there are.
    fn count(&self) -> usize;

    /// Returns the requests for each slot that one would have with one more, or none if it is not
    /// to be chosen.
    fn load(&self, index: usize) -> Option<f64>;
}

/// Chooses one of the candidates.
pub trait Balancer: Send {
    /// Returns the index of the chosen one, or none if none can be chosen.
    fn choose(&mut self, candidates: &dyn Candidates, rng: &mut dyn Rng) -> Option<usize>;
}
