//! The daemon's control plane: requests from the platform and the backend server, and synchronization
//! with the platform's store.

mod backend_discovery;
mod config_history;
mod control_server;
mod lost_sites;
mod protocol;
mod relay;
mod rollout_format;
mod rollouts;
mod site_publisher;
mod site_table;
mod store_health;
mod store_history;

pub use backend_discovery::BackendDiscovery;
pub use config_history::ConfigHistory;
pub use control_server::{ControlParts, ControlServer, ReadinessCheck, ServiceCheck};
pub use protocol::{
    ConfigSource, ControlCall, ControlProtocol, DecodeError, DecodedConfig, UnknownPart,
};
pub use relay::{Relay, RelayParts};
pub use rollout_format::{OrderTerms, RolloutFormat};
pub use rollouts::{RolloutParts, Rollouts};
pub use site_publisher::{DaemonLocation, SitePublisher};
