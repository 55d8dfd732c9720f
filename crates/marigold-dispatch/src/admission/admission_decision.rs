//! Decisions on requests for a slot.

use std::time::Duration;

use crate::Ticket;
use crate::admission::running_set::Permit;

/// The decision of the [`AdmissionController`](crate::AdmissionController) on a [`SlotRequest`](crate::SlotRequest).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request has a slot.
    Run(Permit),
    /// The request waits in a queue.
    Wait(Ticket),
    /// The request is refused and has not run; the delay after which to retry.
    Refuse(Duration),
}
