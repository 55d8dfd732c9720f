//! The baseline: each in turn.

use rand::Rng;

use crate::balance::{Balancer, Candidates};

/// Takes each candidate in turn and looks at no load.
#[derive(Debug, Clone, Copy, Default)]
pub struct RoundRobin {
    next: usize,
}

impl Balancer for RoundRobin {
    fn choose(&mut self, candidates: &dyn Candidates, _: &mut dyn Rng) -> Option<usize> {
        let count = candidates.count();
        let turns = (0..count).map(|step| (self.next + step) % count);
        let index = turns.into_iter().find(|&i| candidates.load(i).is_some())?;
        self.next = index + 1;
        Some(index)
    }
}
