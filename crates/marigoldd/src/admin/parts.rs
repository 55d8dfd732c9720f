//! What the operators' side is given by the rest of the daemon.

use std::sync::Arc;

use marigold_api::Status;
use marigold_config::Trust;
use marigold_request::burn::BurnReport;
use tokio::runtime::Handle;

use super::LogSession;
use crate::Shared;

/// Tells who holds which version.
pub trait StatusSource: Send + Sync {
    /// Returns the mesh as this daemon sees it now.
    fn status(&self) -> Status;
}

/// Tells how fast services use up their objectives.
pub trait BurnSource: Send + Sync {
    /// Returns what this daemon has counted.
    fn burn(&self) -> BurnReport;
}

/// Renders the metrics.
pub trait MetricsSource: Send + Sync {
    /// Returns the text that Prometheus reads.
    fn render(&self) -> String;
}

/// Begins the daemon's graceful shutdown.
pub trait DrainSink: Send + Sync {
    /// Takes no new work from now on; a repeat changes nothing.
    fn drain(&self);
}

/// Everything that [`AdminServer`](super::AdminServer) needs.
#[derive(Clone)]
pub struct AdminParts {
    /// The daemon's blackboard.
    pub shared: Arc<Shared>,
    /// The roots of trust.
    pub trust: Trust,
    /// The way to the log.
    pub session: Arc<LogSession>,
    /// The runtime that requests over the log run on.
    pub runtime: Handle,
    /// Who holds which version.
    pub status: Arc<dyn StatusSource>,
    /// How fast objectives are used up.
    pub burn: Arc<dyn BurnSource>,
    /// The metrics.
    pub metrics: Arc<dyn MetricsSource>,
    /// The way to leave.
    pub drain: Arc<dyn DrainSink>,
}
