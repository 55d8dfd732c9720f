//! Round robin, the baseline for comparison.

use rand::Rng;

use crate::balance::{Balancer, Candidates};

/// Chooses each candidate in turn, regardless of load.
#[derive(Debug, Clone, Copy, Default)]
pub struct RoundRobin {
    next: usize,
}

impl Balancer for RoundRobin {
    fn choose(&mut self, candidates: &dyn Candidates, _: &mut dyn Rng) -> Option<usize> {
        let count = candidates.count();
        let indexes = (0..count).map(|step| (self.next + step) % count);
        let index = indexes
            .into_iter()
            .find(|&i| candidates.load(i).is_some())?;
        self.next = index + 1;
        Some(index)
    }
}
