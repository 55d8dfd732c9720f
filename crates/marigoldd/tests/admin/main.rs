//! Tests of the admin server over TCP connections on loopback.

#[path = "../common/mod.rs"]
mod common;

mod announcements;
mod connections;
mod fixture;
mod operators;
