//! Recognizes requests of callers that come back after a refusal.
//!
//! Load pattern: under overload a large part of the requests are returns. They have used up some of their objective and
//! are served after those that can still be in time. Deadlines alone don't tell them from first attempts, since the
//! timeouts of callers differ.
//!
//! One service receives requests of callers and calls of other services' backend servers. The limit of retries grows with
//! the former only. Callers that are refused come back, a few times each; calls of backend servers don't, since the run
//! that made them fails.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use tokio::time::Instant;

use crate::{CallKind, RequestMark, RequestOrigin};

/// The refusals of a kind after which its returns are looked at.
const MIN_REFUSALS: f64 = 8.0;
/// The least returns for each refusal of a kind that callers send: they come back unless their time is over.
const MIN_RETURN_RATIO: f64 = 0.25;
/// The number of refusals at which the counts are halved, so that the latest count most.
const MAX_REFUSALS: f64 = 64.0;
/// The difference between a caller's deadline before and after a refusal: the variation of its network delay, with
/// retransmissions on a link that loses packets.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(250);
/// The maximum number of refusals of a kind that are remembered, and of kinds; bounds memory.
const MAX_REMEMBERED: usize = 256;
const MAX_KINDS: usize = 512;

/// A refused request, whose caller may come back.
#[derive(Debug, Clone, Copy)]
pub struct RefusedAttempt {
    /// What the caller sends again.
    pub mark: RequestMark,
    /// When the caller's first attempt arrived.
    pub first_at: Instant,
    /// The caller's deadline, which it keeps.
    pub deadline: Instant,
    /// How often the caller had come back before.
    pub returns: u8,
}

/// A request that was sent before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerReturn {
    /// When the caller's first attempt arrived.
    pub first_at: Instant,
    /// How often the caller has come back.
    pub returns: u8,
}

#[derive(Debug, Clone, Default)]
struct KindReturns {
    refusals: f64,
    returns: f64,
    latest: VecDeque<RefusedAttempt>,
}

/// Matches requests with earlier attempts of their callers.
#[derive(Debug, Clone, Default)]
pub struct CallerReturns {
    kinds: HashMap<CallKind, KindReturns>,
}

impl CallerReturns {
    /// Records an attempt of `kind` that was refused.
    pub fn record_refusal(&mut self, kind: &CallKind, refused: RefusedAttempt) {
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
        known.latest.push_back(refused);
    }

    /// Returns the earlier attempts of a request, or `None` if none was refused here. Each is returned once.
    pub fn take_return(
        &mut self,
        kind: &CallKind,
        mark: RequestMark,
        deadline: Instant,
    ) -> Option<CallerReturn> {
        let known = self.kinds.get_mut(kind)?;
        let is_same = |refused: &RefusedAttempt| {
            let later = refused.deadline.saturating_duration_since(deadline);
            let distance = later.max(deadline.saturating_duration_since(refused.deadline));
            refused.mark == mark && distance <= DEADLINE_TOLERANCE
        };
        let index = known.latest.iter().rposition(is_same)?;
        let refused = known.latest.remove(index)?;
        known.returns += 1.0;
        Some(CallerReturn {
            first_at: refused.first_at,
            returns: refused.returns.saturating_add(1),
        })
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
