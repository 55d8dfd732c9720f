//! Load balancing algorithms. See docs/design/routing.md.

mod balancer;
mod round_robin;
mod two_choices;

pub use balancer::{Balancer, Candidates};
pub use round_robin::RoundRobin;
pub use two_choices::TwoChoices;
