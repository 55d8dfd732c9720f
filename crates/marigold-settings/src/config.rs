//! The sections of the settings file, one module each.

pub mod admin;
pub mod caller;
pub mod control;
pub mod daemon;
pub mod log;
pub mod logging;
pub mod peers;
pub mod request;
pub mod tls;
pub mod trust;
