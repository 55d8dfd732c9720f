//! Requests of callers.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use super::CallerKey;
use crate::Body;

/// A complete request.
#[derive(Debug, Clone)]
pub struct Request {
    /// HTTP method.
    pub method: Arc<str>,
    /// Path and query, unmodified.
    pub target: Arc<str>,
    /// Value of the `Host` field, or an empty string.
    pub host: Arc<str>,
    /// Request id set by the caller.
    pub id: Option<Arc<str>>,
    /// How long the caller waits for the response, if it states that.
    pub caller_timeout: Option<Duration>,
    /// Key of the caller.
    pub key: CallerKey,
    /// Encoded header fields to forward.
    pub fields: Bytes,
    /// Body without transfer encoding.
    pub body: Body,
    /// Whether the connection is closed after the response.
    pub close: bool,
}
