//! The input of executor selection.

use std::net::SocketAddr;
use std::time::Duration;

use marigold_types::ServiceName;

use crate::{CallKind, Precedence, Rank, VersionFilter};

/// A request for which an executor is selected.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// The service that must run the request.
    pub service: &'a ServiceName,
    /// The kind of the request.
    pub kind: &'a CallKind,
    /// The precedence of the caller's workspace.
    pub precedence: Precedence,
    /// The priority of the request.
    pub rank: Rank,
    /// The remaining time in which a response has its full value.
    pub objective: Duration,
    /// The remaining time until the caller's deadline.
    pub time_left: Duration,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The size of the request body, in bytes.
    pub bytes: u64,
    /// The executors that were already tried.
    pub tried: &'a [SocketAddr],
    /// The versions that may run it.
    pub versions: VersionFilter<'a>,
}
