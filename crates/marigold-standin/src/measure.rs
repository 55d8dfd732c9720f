//! Measurements of a mesh on one machine, compared with a baseline from the same run.

mod args;
mod baseline;
mod bench;
mod calls;
mod control;
mod fault;
mod faults;
mod figure;
mod findings;
mod keys;
mod machine;
mod overload;
mod page;
mod part;
mod plot;
mod recovery;
mod slope;
mod snapshot;
mod usage;

pub use args::MeasureArgs;
pub use bench::{Bench, Sample};
pub use figure::Figure;
pub use findings::Findings;
pub use machine::Machine;
pub use page::Page;
pub use part::Part;
pub use plot::{Plot, Series};
pub use slope::slope;
pub use usage::Usage;
