//! Daemons and backend servers on loopback.
#![allow(
    dead_code,
    unused_imports,
    reason = "each test file uses only some items"
)]

pub mod backend;
pub mod http;
pub mod mesh;
pub mod relay;

pub use backend::Backend;
pub use http::{Reply, http};
pub use mesh::{Daemon, Mesh};
pub use relay::Relay;
