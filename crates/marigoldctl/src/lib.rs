//! The operators' command line, built as a library so that tests can use its parts.
//!
//! docs/COMMANDS.md lists every command; a test compares it with [`reference`].

mod changes;
mod cli;
mod client;
mod clock;
mod commands;
mod daemon_url;
mod error;
mod outcome;
mod output;
mod reference;

pub use changes::{ChangeKind, ChangeRow};
pub use cli::{Arguments, Command};
pub use client::Client;
pub use commands::run;
pub use daemon_url::DaemonUrl;
pub use error::{CtlError, DaemonError};
pub use outcome::Outcome;
pub use reference::reference;
