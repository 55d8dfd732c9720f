//! The controllers of the control plane, one for each concern.

mod announcement;
mod anti_entropy;
mod configuration;
mod detector;
mod fanout;
mod fetch;
mod follower;
mod gossip;
mod join;
mod remote;
mod report;

pub use announcement::Announcement;
pub use anti_entropy::AntiEntropy;
pub use configuration::Configuration;
pub use detector::Detector;
pub use fanout::Fanout;
pub use fetch::Fetch;
pub use follower::Follower;
pub use gossip::Gossip;
pub use join::Join;
pub use remote::Remote;
pub use report::Reports;
