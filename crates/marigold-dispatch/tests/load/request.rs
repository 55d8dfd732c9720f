//! The state of simulated requests and attempts.

use std::time::Duration;

use tokio::time::Instant;

use marigold_dispatch::{ExecutorChoice, Progress};

use super::daemon::OpenHere;

/// A request, including its retries by the caller, which keep its objective and deadline.
#[derive(Debug, Clone)]
pub struct Request {
    pub class: usize,
    /// The index of the ingress that receives it.
    pub ingress: usize,
    /// The time of the first arrival.
    pub first_arrival: Instant,
    /// The time at which the caller stops waiting.
    pub deadline: Instant,
    /// The number of caller retries left.
    pub retries_left: u32,
    /// The number of refusals.
    pub refusals: u32,
    /// How often its caller has come back, as seen by the ingress.
    pub returns: u8,
    /// The attempt whose run waits for this request, if it is a call.
    pub parent: Option<usize>,
    /// The executors tried since the last arrival.
    pub tried: Vec<usize>,
    pub progress: Progress,
    /// The remaining time of its objective at the last arrival, as estimated by the ingress.
    pub objective: Duration,
    /// The time of the first arrival, as estimated by the ingress.
    pub seen_at: Instant,
    /// The time of the last arrival.
    pub arrived_at: Instant,
    /// What its daemon counts as open, once it has accepted it.
    pub open: Option<OpenHere>,
    /// Whether its caller has its outcome.
    pub is_over: bool,
}

/// An attempt to execute a request on one executor.
#[derive(Debug, Clone, Copy)]
pub struct Attempt {
    pub request: usize,
    pub executor: usize,
    pub choice: ExecutorChoice,
    /// When it reached the executor.
    pub arrived: Option<Instant>,
    /// When its run began.
    pub began: Option<Instant>,
    pub permit: Option<marigold_dispatch::Permit>,
    /// Whether its run has ended.
    pub is_over: bool,
    /// What the daemon of its executor counts as open, once it has accepted it.
    pub open: Option<OpenHere>,
}
