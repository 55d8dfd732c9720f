//! Options and dependencies of an executor.

use std::sync::Arc;

use marigold_types::Version;

use crate::HeaderNames;

/// Called with the configuration version that a call was routed by.
pub type VersionListener = Box<dyn Fn(Version)>;

/// Returns the path of the backend server's health check, or `None` while it is not known.
pub type HealthPathSource = Box<dyn Fn() -> Option<Arc<str>>>;

/// Options of a [`LocalExecutor`](super::LocalExecutor), fixed for its lifetime.
#[derive(Debug, Clone)]
pub struct ExecutorOptions {
    /// Names of header fields with a special meaning.
    pub names: Arc<HeaderNames>,
    /// Responses with a larger body count as failed exchanges.
    pub max_response_body_bytes: u64,
}
