//! The admin server: plans, confirmations, status, metrics and announcements over HTTP.
//!
//! Operators authenticate by signing their requests; see docs/design/security.md. Each connection
//! serves one request, and every request has a deadline.

mod access;
mod announcements;
mod error;
mod limiting_proxy;
mod log_session;
mod operators;
mod parts;
mod reply;
mod routes;
mod server;

pub use announcements::Announcements;
pub use error::{AdminError, SessionError};
pub use log_session::{AppendOutcome, LogSession};
pub use parts::{AdminParts, BurnSource, DrainSink, MetricsSource, StatusSource};
pub use server::AdminServer;
