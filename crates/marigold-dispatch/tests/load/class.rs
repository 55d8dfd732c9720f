//! A kind of request as callers bring it.

use std::time::Duration;

use marigold_dispatch::{CallKind, Rank};
use marigold_types::ServiceName;

/// A kind of request.
#[derive(Debug, Clone)]
pub struct Class {
    /// Its route.
    pub kind: CallKind,
    /// The service that runs it.
    pub service: ServiceName,
    /// Requests a second, of all data centres; none of a class that only runs call.
    pub rate: f64,
    /// The mean run of a server of usual speed.
    pub run: Duration,
    /// The time in which an answer earns full value.
    pub objective: Duration,
    /// How long its callers wait.
    pub patience: Duration,
    /// How urgent it is.
    pub rank: Rank,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// What an answer in time is worth.
    pub worth: f64,
    /// What a late answer is worth.
    pub late_worth: f64,
    /// The class that its runs call, and the share of runs that do.
    pub calls: Option<(usize, f64)>,
}

impl Class {
    /// Builds a class of requests that may run more than once and call nothing.
    pub fn new(name: &str, service: &str, rate: f64, run: u64, limits: (u64, u64)) -> Self {
        Self {
            kind: name.parse().expect("a kind"),
            service: service.parse().expect("a service"),
            rate,
            run: Duration::from_millis(run),
            objective: Duration::from_millis(limits.0),
            patience: Duration::from_millis(limits.1),
            rank: Rank(2),
            idempotent: true,
            worth: 1.0,
            late_worth: 0.3,
            calls: None,
        }
    }

    /// Makes it as urgent as `rank`, worth more accordingly, and run once at most.
    pub fn urgent(self, rank: u8, worth: f64) -> Self {
        Self {
            rank: Rank(rank),
            idempotent: false,
            worth,
            late_worth: 0.3 * worth,
            ..self
        }
    }

    /// Makes it a class that only runs of others call; its own answers are worth nothing.
    pub fn internal(self, rank: u8) -> Self {
        Self {
            rank: Rank(rank),
            rate: 0.0,
            worth: 0.0,
            late_worth: 0.0,
            ..self
        }
    }

    /// Lets a share of its runs call the class with this number.
    pub fn calling(self, class: usize, share: f64) -> Self {
        Self {
            calls: Some((class, share)),
            ..self
        }
    }
}
