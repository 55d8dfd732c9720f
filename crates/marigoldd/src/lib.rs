//! The daemon that runs beside each backend server.
//!
//! It connects the decisions of `marigold-control` and `marigold-request` to the network. It is a
//! library so that the stand-ins can run several daemons in one process. See docs/ARCHITECTURE.md.

pub mod admin;
pub mod caller;
pub mod executor;
pub mod peer;

mod admin_sources;
mod announcer;
mod backend_server;
mod control_loop;
mod control_meters;
mod control_options;
mod daemon;
mod logging;
mod metrics;
mod request_side;
mod secrets;
mod shared;
mod sockets;

pub use backend_server::BackendServer;
pub use control_meters::ControlMeters;
pub use daemon::{Daemon, DaemonParts, StartError};
pub use logging::install as install_logging;
pub use metrics::Metrics;
pub use request_side::RequestSide;
pub use secrets::{Secrets, SecretsError};
pub use shared::Shared;
pub use sockets::{SocketError, Sockets};
