//! Power of two choices: the less loaded of two random candidates.

use rand::{Rng, RngExt};

use crate::balance::{Balancer, Candidates};

/// The number of random draws before the candidates are searched in order.
const MAX_DRAWS: usize = 8;

/// Chooses the less loaded of two random candidates.
///
/// See Mitzenmacher, The Power of Two Choices in Randomized Load Balancing (2001). It avoids the
/// herding that a choice of the least loaded candidate causes when load reports are stale.
#[derive(Debug, Clone, Copy, Default)]
pub struct TwoChoices;

impl Balancer for TwoChoices {
    fn choose(&mut self, candidates: &dyn Candidates, rng: &mut dyn Rng) -> Option<usize> {
        let count = candidates.count();
        if count == 0 {
            return None;
        }
        let mut first: Option<(usize, f64)> = None;
        for _ in 0..MAX_DRAWS {
            let index = rng.random_range(0..count);
            let Some(load) = candidates.load(index) else {
                continue;
            };
            match first {
                None => first = Some((index, load)),
                Some((other, _)) if other == index => {}
                Some((other, low)) => return Some(if load < low { index } else { other }),
            }
        }
        first
            .map(|(index, _)| index)
            .or_else(|| search(candidates, rng))
    }
}

/// Searches for a candidate from a random start, for the case that few may be chosen.
fn search(candidates: &dyn Candidates, rng: &mut dyn Rng) -> Option<usize> {
    let count = candidates.count();
    let start = rng.random_range(0..count);
    let indexes = (0..count).map(|step| (start + step) % count);
    indexes
        .into_iter()
        .find(|&index| candidates.load(index).is_some())
}
