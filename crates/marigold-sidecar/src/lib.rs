//! The sidecar: the daemon that accepts a caller's request forwards it directly to the daemon beside a
//! backend server, over plain TCP, without a control tier.
//!
//! Routing and admission decisions are in `marigold-dispatch`; this crate does the I/O. Everything
//! specific to the platform (names, formats, the store's API) is supplied through [`Adapter`]. See
//! docs/design/platform.md.

pub mod control;
pub mod events;
pub mod executor;
pub mod http1;
pub mod ingress;
pub mod link;

mod body;
mod boot_clock;
mod crash_tracker;
mod header_names;
mod lifecycle;
mod memory;
mod settings;
mod sidecar;

pub use body::{Body, BodyBuffer, SEGMENT_BYTES};
pub use crash_tracker::{CrashTracker, TrackedRun};
pub use header_names::HeaderNames;
pub use lifecycle::{Lifecycle, WorkGuard};
pub use memory::{
    Charge, EvictionCause, HolderKey, Holders, MemoryBudget, OutOfMemory, Share, ShrinkableCache,
};
pub use settings::{BoundSettings, InstanceSettings, ListenSettings, RoutingSettings, Settings};
pub use sidecar::{Adapter, SidecarError, load_settings, run};
