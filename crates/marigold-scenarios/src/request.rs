//! Scenarios of the request side.

mod call;
mod command;
mod executor;
mod ingress;
mod links;
mod mesh;
mod message;
mod node;
mod runner;
mod server;
mod watch;

pub use command::RequestCommand;
pub use runner::RequestRunner;
