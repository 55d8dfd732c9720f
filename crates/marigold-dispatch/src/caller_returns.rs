//! Tells which requests come from callers that were refused before.
//!
//! Load pattern: one service receives requests of callers and calls of other services' backend servers. The limit of
//! retries grows with the former only. Callers that are refused come back, a few times each; calls of backend servers
//! don't, since the run that made them fails.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use tokio::time::Instant;

use crate::{CallKind, RequestOrigin};

/// The refusals of a kind after which its returns are looked at.
const MIN_REFUSALS: f64 = 8.0;
/// The least returns for each refusal of a kind that callers send: they come back unless their time is over.
const MIN_RETURN_RATIO: f64 = 0.25;
/// The number of refusals at which the counts are halved, so that the latest count most.
const MAX_REFUSALS: f64 = 64.0;
/// The difference between a caller's deadline before and after a refusal: the variation of its network delay.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(10);
/// The maximum number of refusals of a kind that are remembered, and of kinds; bounds memory.
const MAX_REMEMBERED: usize = 64;
const MAX_KINDS: usize = 512;

/// A refusal whose caller may come back.
#[derive(Debug, Clone, Copy)]
struct Refusal {
    /// The caller's deadline, which it keeps.
    deadline: Instant,
    /// How often the caller had come back before.
    returns: u8,
}

#[derive(Debug, Clone, Default)]
struct KindReturns {
    refusals: f64,
    returns: f64,
    latest: VecDeque<Refusal>,
}

/// Matches requests with earlier refusals by their deadlines.
#[derive(Debug, Clone, Default)]
pub struct CallerReturns {
    kinds: HashMap<CallKind, KindReturns>,
}

impl CallerReturns {
    /// Records that a request of `kind` was refused, whose caller had come back `returns` times.
    pub fn record_refusal(&mut self, kind: &CallKind, deadline: Instant, returns: u8) {
        if self.kinds.len() >= MAX_KINDS && !self.kinds.contains_key(kind) {
            return;
        }
        let known = self.kinds.entry(kind.clone()).or_default();
        known.refusals += 1.0;
        if known.refusals >= MAX_REFUSALS {
            known.refusals /= 2.0;
            known.returns /= 2.0;
        }
        if known.latest.len() >= MAX_REMEMBERED {
            known.latest.pop_front();
        }
        known.latest.push_back(Refusal { deadline, returns });
    }

    /// Records a request with less time left than usual. Returns how often its caller has come back, or 0 if it was not
    /// refused here.
    pub fn record_return(&mut self, kind: &CallKind, deadline: Instant) -> u8 {
        let Some(known) = self.kinds.get_mut(kind) else {
            return 0;
        };
        let distance = |refusal: &Refusal| {
            let later = refusal.deadline.saturating_duration_since(deadline);
            later.max(deadline.saturating_duration_since(refusal.deadline))
        };
        let latest = known.latest.iter().enumerate();
        let Some((index, nearest)) = latest.min_by_key(|(_, refusal)| distance(refusal)) else {
            return 0;
        };
        if distance(nearest) > DEADLINE_TOLERANCE {
            return 0;
        }
        let returns = nearest.returns.saturating_add(1);
        known.latest.remove(index);
        known.returns += 1.0;
        returns
    }

    /// Returns who sends requests of `kind`, judged by whether they come back after refusals.
    #[must_use]
    pub fn origin(&self, kind: &CallKind) -> RequestOrigin {
        match self.kinds.get(kind) {
            Some(known) if known.refusals >= MIN_REFUSALS => {
                if known.returns >= MIN_RETURN_RATIO * known.refusals {
                    RequestOrigin::Caller
                } else {
                    RequestOrigin::BackendServer
                }
            }
            _ => RequestOrigin::Unknown,
        }
    }
}
