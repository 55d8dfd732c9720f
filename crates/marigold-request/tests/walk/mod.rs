//! A model of an executor, a witness and two ingresses that runs the production decision code.

mod message;
mod world;

use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};

use marigold_types::Outcome;

pub use world::{Bounds, World};

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
    let mut open = vec![World::new(bounds)];
    while let Some(world) = open.pop() {
        world.check();
        coverage.states += 1;
        coverage.answered += usize::from(world.reported.contains(&Outcome::Answered));
        coverage.not_run += usize::from(world.reported.contains(&Outcome::NotRun));
        coverage.unknown += usize::from(world.reported.contains(&Outcome::Unknown));
        coverage.ran += usize::from(world.runs > 0);
        let next = world.next().into_iter();
        open.extend(next.filter(|world| visited.insert(hash(world))));
    }
    coverage
}

fn hash(world: &World) -> u64 {
    let mut hasher = DefaultHasher::new();
    world.hash(&mut hasher);
    hasher.finish()
}
