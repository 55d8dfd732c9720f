//! Accepts callers' requests and forwards them to executors.

mod attempt;
mod caller_check;
mod config_freshness;
mod connection;
mod listener;
mod mesh;
mod quotas;
mod request_handler;
mod request_outcome;
mod request_trace;
mod rollout_routing;

pub use config_freshness::ConfigFreshness;
pub use listener::listen;
pub use mesh::{Mesh, MeshOptions, StoreUpdateListener, Tuning};
pub use quotas::{OverQuota, Quotas};
pub use request_handler::{Ingress, IngressOptions};
pub use request_outcome::RequestOutcome;
pub use rollout_routing::RolloutListener;
