//! A small model of an executor, a witness and two ingresses around the real decision code.

mod message;
mod world;

use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};

use marigold_types::Outcome;

pub use world::{Bounds, World};

/// What a walk has seen.
#[derive(Debug, Default)]
pub struct Seen {
    pub states: usize,
    pub answered: usize,
    pub not_run: usize,
    pub unknown: usize,
    pub ran: usize,
}

/// Visits every state that can be reached and checks each.
pub fn walk(bounds: Bounds) -> Seen {
    let mut seen = Seen::default();
    let mut visited = HashSet::new();
    let mut open = vec![World::new(bounds)];
    while let Some(world) = open.pop() {
        world.check();
        seen.states += 1;
        seen.answered += usize::from(world.said.contains(&Outcome::Answered));
        seen.not_run += usize::from(world.said.contains(&Outcome::NotRun));
        seen.unknown += usize::from(world.said.contains(&Outcome::Unknown));
        seen.ran += usize::from(world.runs > 0);
        let next = world.next().into_iter();
        open.extend(next.filter(|world| visited.insert(hash(world))));
    }
    seen
}

fn hash(world: &World) -> u64 {
    let mut hasher = DefaultHasher::new();
    world.hash(&mut hasher);
    hasher.finish()
}
