//! The sidecar: callers' requests go straight from the daemon that takes them to the daemon beside a
//! backend server, over plain TCP, without a control tier.
//!
//! Decisions are in `marigold-dispatch`; here they are joined to sockets. What belongs to the platform
//! (names, formats, the store's calls) comes in through [`Adapter`]. See docs/design/platform.md.

pub mod control;
pub mod events;
pub mod executor;
pub mod http1;
pub mod ingress;
pub mod link;

mod header_names;
mod settings;
mod sidecar;

pub use header_names::HeaderNames;
pub use settings::{BoundSettings, InstanceSettings, ListenSettings, RoutingSettings, Settings};
pub use sidecar::{Adapter, SidecarError, load_settings, run};
