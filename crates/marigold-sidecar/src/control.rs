//! Calls of the platform and the backend server to this daemon, and what the daemon follows in the
//! platform's store.

mod config_follower;
mod control_server;
mod protocol;
mod site_follower;
mod site_publisher;
mod store_watch;

pub use config_follower::ConfigFollower;
pub use control_server::{ControlServer, Status};
pub use protocol::{ConfigSource, ControlCall, ControlProtocol, Undecodable};
pub use site_follower::SiteFollower;
pub use site_publisher::SitePublisher;
