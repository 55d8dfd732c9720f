//! The daemon beside each backend server, as a library so that the stand-ins can hold several.
//!
//! It joins the decisions of `marigold-control` and `marigold-request` to the network. See
//! docs/ARCHITECTURE.md.

pub mod admin;
pub mod caller;
pub mod executor;
pub mod peer;

mod backend_server;
mod request_side;
mod shared;

pub use backend_server::BackendServer;
pub use request_side::RequestSide;
pub use shared::Shared;
