//! The operators' side: plans, confirmations, status, metrics and announcements, over HTTP.
//!
//! Operators prove themselves by signatures; see docs/design/security.md. Each connection serves
//! one request, and no request outlives its deadline.

mod access;
mod announcements;
mod error;
mod gate;
mod log_session;
mod operators;
mod parts;
mod reply;
mod routes;
mod server;

pub use announcements::Announcements;
pub use error::{AdminError, SessionError};
pub use log_session::{Fate, LogSession};
pub use parts::{AdminParts, BurnSource, DrainSink, MetricsSource, StatusSource};
pub use server::AdminServer;
