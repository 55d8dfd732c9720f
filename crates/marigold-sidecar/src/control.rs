//! Calls of the platform and the backend server to this daemon, and what the daemon follows in the
//! platform's store.

mod backend_finder;
mod config_shelf;
mod control_server;
mod protocol;
mod relay;
mod site_publisher;
mod site_table;
mod store_health;

pub use backend_finder::BackendFinder;
pub use config_shelf::ConfigShelf;
pub use control_server::{ControlServer, Status};
pub use protocol::{ConfigSource, ControlCall, ControlProtocol, Undecodable};
pub use relay::{Relay, RelayParts};
pub use site_publisher::{Place, SitePublisher};
