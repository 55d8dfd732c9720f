//! The typed questions and answers of admission.

use marigold_types::{CallerName, Class};
use slotmap::new_key_type;
use tokio::time::Instant;

use crate::Refusal;

new_key_type! {
    /// Names a request that holds a slot.
    pub struct Permit;
    /// Names a request that waits for a slot.
    pub struct Ticket;
}

/// A request that asks for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Its priority.
    pub class: Class,
    /// When nobody waits for it any more.
    pub deadline: Instant,
    /// Who called, where it is known.
    pub caller: Option<CallerName>,
    /// Whether it is suspected to crash backend servers and runs with no other beside it.
    pub exclusive: bool,
}

/// What becomes of a request that asks for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It runs now; give the permit back when it has ended.
    Run(Permit),
    /// It waits until a [`Granted`] or a [`Dropped`] names its ticket.
    Wait(Ticket),
    /// It is refused and has not run.
    Refuse(Refusal),
}

/// A request that has waited and runs now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Granted {
    /// What it waited under.
    pub ticket: Ticket,
    /// What it runs under.
    pub permit: Permit,
}

/// A request that has waited and cannot make its deadline any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Dropped {
    /// What it waited under.
    pub ticket: Ticket,
    /// Why it is refused.
    pub refusal: Refusal,
}

/// What a change sets in motion.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct QueueUpdate {
    /// Requests that run now.
    pub granted: Vec<Granted>,
    /// Requests that are given up now.
    pub dropped: Vec<Dropped>,
}
