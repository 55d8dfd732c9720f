//! Measurements of the mesh on one machine, each beside a baseline of the same run.

mod figure;
mod machine;
mod page;
mod plot;
mod slope;
mod usage;

pub use figure::Figure;
pub use machine::Machine;
pub use page::Page;
pub use plot::{Plot, Series};
pub use slope::slope;
pub use usage::Usage;
