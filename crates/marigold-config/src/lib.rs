//! The configuration of the mesh: what operators declare, and how the log's records become it.
//!
//! Everything here is a pure function of its arguments. See docs/design/configuration.md.

mod change;
mod config;
mod declaration;
mod delta;
mod limit;
mod objective;
mod operator;
mod resource;
mod route;
mod rule;
mod service;

pub use change::Change;
pub use config::Config;
pub use declaration::Declaration;
pub use delta::{Delta, DeltaError};
pub use limit::Limit;
pub use objective::Objective;
pub use operator::Operator;
pub use resource::Resource;
pub use route::Route;
pub use rule::Rule;
pub use service::Service;
