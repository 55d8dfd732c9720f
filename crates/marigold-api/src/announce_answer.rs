//! Responses to announcements of backend servers.

use std::sync::Arc;

use marigold_types::Interval;
use serde::{Deserialize, Serialize};

/// The response to an announcement of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnounceAnswer {
    /// Whether the backend server may receive requests.
    pub accepted: bool,
    /// Reason for a rejection; `None` if accepted.
    pub reason: Option<Arc<str>>,
    /// Whether the configuration in force declares the service. If not, no route leads to it.
    pub declared: bool,
    /// Interval at which the backend server has to repeat the announcement.
    pub heartbeat: Interval,
}
