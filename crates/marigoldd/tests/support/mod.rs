//! Daemons on loopback for the tests, each with a backend server of the test's own.
#![allow(dead_code, unused_imports, reason = "each test file uses a part")]

pub mod backend;
pub mod http;
pub mod mesh;
pub mod relay;

pub use backend::Backend;
pub use http::{Reply, http};
pub use mesh::{Daemon, Mesh};
pub use relay::Relay;
