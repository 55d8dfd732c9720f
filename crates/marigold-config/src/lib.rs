//! The configuration of the mesh: what operators declare, and how the log's records become it.
//!
//! Everything here is a pure function of its arguments. See docs/design/configuration.md.

mod change;
mod check;
mod config;
mod declaration;
mod delta;
mod intent;
mod invalid;
mod limit;
mod objective;
mod operator;
mod pattern;
mod resource;
mod route;
mod rule;
mod service;
mod share;
mod window;

pub use change::Change;
pub use config::Config;
pub use declaration::Declaration;
pub use delta::{Delta, DeltaError};
pub use intent::Intent;
pub use invalid::Invalid;
pub use limit::Limit;
pub use objective::Objective;
pub use operator::Operator;
pub use pattern::Pattern;
pub use resource::Resource;
pub use route::Route;
pub use rule::Rule;
pub use service::Service;
pub use share::Share;
pub use window::Window;
