//! The classes of requests in a scenario.

use std::time::Duration;

use marigold_dispatch::{CallKind, Precedence, Rank};
use marigold_types::{ServiceName, WorkspaceName};

/// A class of requests.
#[derive(Debug, Clone)]
pub struct RequestClass {
    /// The route of the requests.
    pub kind: CallKind,
    /// The workspace of the callers, if there are workspaces.
    pub workspace: Option<WorkspaceName>,
    /// The precedence of the workspace.
    pub precedence: Precedence,
    /// The service that executes them.
    pub service: ServiceName,
    /// Requests per second over all data centres; 0 for a class that is only called by other requests.
    pub rate: f64,
    /// The mean run time on a server of average speed.
    pub run: Duration,
    /// The time within which a response has its full value.
    pub objective: Duration,
    /// The time for which callers wait.
    pub timeout: Duration,
    /// The priority of the requests.
    pub rank: Rank,
    /// Whether a request may be executed more than once.
    pub idempotent: bool,
    /// The value of a response within the objective.
    pub value: f64,
    /// The value of a response after the objective.
    pub late_value: f64,
    /// The index of the class that its runs call, and the fraction of runs that do.
    pub calls: Option<(usize, f64)>,
}

impl RequestClass {
    /// Builds a class of idempotent requests without calls. `run` and `limits`, the objective and the timeout,
    /// are in milliseconds.
    pub fn new(name: &str, service: &str, rate: f64, run: u64, limits: (u64, u64)) -> Self {
        Self {
            kind: name.parse().expect("valid kind"),
            workspace: None,
            precedence: Precedence::default(),
            service: service.parse().expect("valid service name"),
            rate,
            run: Duration::from_millis(run),
            objective: Duration::from_millis(limits.0),
            timeout: Duration::from_millis(limits.1),
            rank: Rank(2),
            idempotent: true,
            value: 1.0,
            late_value: 0.3,
            calls: None,
        }
    }

    /// Sets the rank and value, and makes the requests non-idempotent.
    pub fn urgent(self, rank: u8, value: f64) -> Self {
        Self {
            rank: Rank(rank),
            idempotent: false,
            value,
            late_value: 0.3 * value,
            ..self
        }
    }

    /// Makes it a class that is only called by other requests; its own responses have no value.
    pub fn internal(self, rank: u8) -> Self {
        Self {
            rank: Rank(rank),
            rate: 0.0,
            value: 0.0,
            late_value: 0.0,
            ..self
        }
    }

    /// Sets the workspace that sends the requests, a fraction `share` of all.
    pub fn of(self, workspace: &str, precedence: u8, share: f64) -> Self {
        Self {
            workspace: Some(workspace.parse().expect("valid workspace name")),
            precedence: Precedence(precedence),
            rate: self.rate * share,
            ..self
        }
    }

    /// Makes a fraction of its runs call the class at index `class`.
    pub fn calling(self, class: usize, ratio: f64) -> Self {
        Self {
            calls: Some((class, ratio)),
            ..self
        }
    }
}
