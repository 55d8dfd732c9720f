//! A request that looks for an executor.

use std::net::SocketAddr;
use std::time::Duration;

use marigold_types::ServiceName;

use crate::{CallKind, Rank};

/// What is asked of a placement.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// The service that must run the request.
    pub service: &'a ServiceName,
    /// What kind of work it is.
    pub kind: &'a CallKind,
    /// How urgent it is.
    pub rank: Rank,
    /// How long its answer still earns full value.
    pub objective: Duration,
    /// How long anybody waits for its answer.
    pub time_left: Duration,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// The bytes of the request's body.
    pub bytes: u64,
    /// Executors that were tried already.
    pub tried: &'a [SocketAddr],
}
