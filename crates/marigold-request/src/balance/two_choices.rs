//! The less loaded of two random candidates.

use rand::{Rng, RngExt};

use crate::balance::{Balancer, Candidates};

/// Random draws before the candidates are searched one by one.
const DRAWS: usize = 8;

/// Draws two candidates and takes the one with the lower load.
///
/// The idea is Mitzenmacher's (The Power of Two Choices in Randomized Load Balancing, 2001): it
/// avoids the herd that a search for the least loaded makes on old news.
#[derive(Debug, Clone, Copy, Default)]
pub struct TwoChoices;

impl Balancer for TwoChoices {
    fn choose(&mut self, candidates: &dyn Candidates, rng: &mut dyn Rng) -> Option<usize> {
        let count = candidates.count();
        if count == 0 {
            return None;
        }
        let mut first: Option<(usize, f64)> = None;
        for _ in 0..DRAWS {
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

/// Finds one when nearly all are out, starting anywhere.
fn search(candidates: &dyn Candidates, rng: &mut dyn Rng) -> Option<usize> {
    let count = candidates.count();
    let start = rng.random_range(0..count);
    let turns = (0..count).map(|step| (start + step) % count);
    turns
        .into_iter()
        .find(|&index| candidates.load(index).is_some())
}
