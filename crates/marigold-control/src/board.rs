//! The blackboard of the control side.

use std::sync::Arc;

use marigold_config::Config;

use crate::Local;

/// Everything the control side of a daemon knows; each controller writes its own part.
#[derive(Debug, Clone)]
pub struct Board {
    /// The daemon itself; written by the daemon's process.
    pub local: Local,
    /// The configuration held; written by the configuration controller.
    pub config: Arc<Config>,
    /// Whether the daemon may serve; written by the configuration controller.
    pub serving: bool,
}
