//! The answer to a backend server that announces itself.

use std::sync::Arc;

use marigold_types::Interval;
use serde::{Deserialize, Serialize};

/// Whether the announcement holds, and until when it must be repeated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnounceAnswer {
    /// Whether the backend server may be given work.
    pub accepted: bool,
    /// Why not, when it may not.
    pub reason: Option<Arc<str>>,
    /// Whether the configuration in force declares the service; without it no route leads there.
    pub declared: bool,
    /// How often the announcement is to be repeated.
    pub heartbeat: Interval,
}
