//! Requests to the admission controller and its decisions.

use marigold_types::{CallerName, Class};
use slotmap::new_key_type;
use tokio::time::Instant;

use crate::Refusal;

new_key_type! {
    /// Identifies a request that holds a slot.
    pub struct Permit;
    /// Identifies a request that waits for a slot.
    pub struct Ticket;
}

/// A request for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// The priority class.
    pub class: Class,
    /// The instant after which the caller no longer waits for the answer.
    pub deadline: Instant,
    /// The caller; absent if unknown.
    pub caller: Option<CallerName>,
    /// Whether the request is suspected of crashing backend servers and must run with no other
    /// request.
    pub exclusive: bool,
}

/// The decision of the [`AdmissionController`](super::AdmissionController) on an
/// [`AdmissionRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request runs now; the permit must be released when it ends.
    Run(Permit),
    /// The request waits until a [`Granted`] or a [`Dropped`] carries its ticket.
    Wait(Ticket),
    /// The request is refused and has not run.
    Refuse(Refusal),
}

/// A request that leaves the queue to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Granted {
    /// The ticket it waited with.
    pub ticket: Ticket,
    /// The permit for its slot.
    pub permit: Permit,
}

/// A request that is removed from the queue without having run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Dropped {
    /// The ticket it waited with.
    pub ticket: Ticket,
    /// The reason, and when the caller may retry.
    pub refusal: Refusal,
}

/// The requests that leave the queue after a state change.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct QueueUpdate {
    /// Requests that run now.
    pub granted: Vec<Granted>,
    /// Requests that are refused now.
    pub dropped: Vec<Dropped>,
}
