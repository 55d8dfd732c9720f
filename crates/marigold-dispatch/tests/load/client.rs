//! A caller's request, over all the times that it comes.

use std::time::Duration;

use tokio::time::Instant;

use marigold_dispatch::Progress;

/// A request; it keeps its objective and deadline when it comes back.
#[derive(Debug, Clone)]
pub struct Request {
    pub class: usize,
    /// The ingress that takes it.
    pub ingress: usize,
    /// When it came first.
    pub first: Instant,
    /// When its caller leaves.
    pub deadline: Instant,
    /// How often it may come back.
    pub returns: u32,
    /// How often it was refused.
    pub refusals: u32,
    /// The attempt whose run waits for it, if it is a call.
    pub parent: Option<usize>,
    /// Executors that were asked since it came last.
    pub tried: Vec<usize>,
    pub progress: Progress,
    /// What is left of its objective when it comes, as its ingress sees it.
    pub objective: Duration,
    /// When it came last.
    pub came: Instant,
}

/// A request at one executor.
#[derive(Debug, Clone, Copy)]
pub struct Attempt {
    pub request: usize,
    pub executor: usize,
    /// When its run began, if it has.
    pub began: Option<Instant>,
    pub permit: Option<marigold_dispatch::Permit>,
    /// Whether its run has ended.
    pub is_over: bool,
}
