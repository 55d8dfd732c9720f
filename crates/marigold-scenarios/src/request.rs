//! Scenarios of request handling.

mod call;
mod command;
mod executor;
mod ingress;
mod invariants;
mod links;
mod mesh;
mod message;
mod node;
mod runner;
mod server;

pub use command::RequestCommand;
pub use runner::RequestRunner;
