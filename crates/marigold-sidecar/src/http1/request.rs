//! A caller's request.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

/// A request that was read as a whole.
#[derive(Debug, Clone)]
pub struct Request {
    /// Its method.
    pub method: Arc<str>,
    /// Its path and query, as they came.
    pub target: Arc<str>,
    /// The host that it names.
    pub host: Arc<str>,
    /// The id that its caller gave it.
    pub id: Option<Arc<str>>,
    /// How long its caller waits.
    pub caller_timeout: Option<Duration>,
    /// The fields that are passed on.
    pub fields: Bytes,
    /// Its body, out of its framing.
    pub body: Bytes,
    /// Whether its caller closes the connection after the answer.
    pub close: bool,
}
