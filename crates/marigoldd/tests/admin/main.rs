//! The operators' side over real connections on loopback.

#[path = "../common/mod.rs"]
mod common;

mod announcements;
mod bench;
mod connections;
mod operators;
