//! A model of an executor, a witness and two ingresses that runs the production decision code.

mod message;
mod state;

use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};

use marigold_types::Outcome;

pub use state::{Bounds, State};

/// The number of visited states, and of those that contain each outcome.
#[derive(Debug, Default)]
pub struct Coverage {
    pub states: usize,
    pub answered: usize,
    pub not_run: usize,
    pub unknown: usize,
    pub ran: usize,
}

/// Visits every reachable state and checks the invariants in each.
pub fn explore(bounds: Bounds) -> Coverage {
    let mut coverage = Coverage::default();
    let mut visited = HashSet::new();
    let mut open = vec![State::new(bounds)];
    while let Some(state) = open.pop() {
        state.check();
        coverage.states += 1;
        coverage.answered += usize::from(state.reported.contains(&Outcome::Answered));
        coverage.not_run += usize::from(state.reported.contains(&Outcome::NotRun));
        coverage.unknown += usize::from(state.reported.contains(&Outcome::Unknown));
        coverage.ran += usize::from(state.runs > 0);
        let next = state.next().into_iter();
        open.extend(next.filter(|state| visited.insert(hash(state))));
    }
    coverage
}

fn hash(state: &State) -> u64 {
    let mut hasher = DefaultHasher::new();
    state.hash(&mut hasher);
    hasher.finish()
}
