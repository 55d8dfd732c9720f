//! The requests that hold a slot, and those whose response is most likely lost.
//!
//! Load pattern: a backend server runs requests but some responses never arrive. Until their deadlines, several run
//! times later, such requests would hold slots that the backend server has long freed.

use std::time::Duration;

use slotmap::{SlotMap, new_key_type};
use tokio::time::Instant;

use crate::CallKind;

/// Requests that started later and have ended, after which an overdue one is not merely behind a stall.
const MIN_LATER_ENDS: u32 = 3;
/// At most one in this number of the slots is given to other requests while overdue ones may still run. The backend
/// server queues what it cannot run.
const MAX_OVERDUE_DIVISOR: usize = 2;
/// The divisor of the moving average of the pace: a new run has a weight of 1/8.
const PACE_SMOOTHING_DIVISOR: f64 = 8.0;

new_key_type! {
    /// Identifies a request that holds a slot.
    pub struct Permit;
}

/// A request that has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedRun {
    pub kind: CallKind,
    pub time: Duration,
}

#[derive(Debug, Clone)]
struct Run {
    kind: CallKind,
    started_at: Instant,
    /// The mean run time of its kind when it started.
    expected: Duration,
    /// Requests that started later and have ended.
    later_ends: u32,
    is_overdue: bool,
}

/// The requests that were sent to the backend server and have not ended.
#[derive(Debug)]
pub struct RunningSet {
    runs: SlotMap<Permit, Run>,
    overdue: usize,
    /// The run times of late, relative to the mean of their kinds: above 1 while the backend server is slow.
    pace: f64,
}

impl Default for RunningSet {
    fn default() -> Self {
        Self {
            runs: SlotMap::with_key(),
            overdue: 0,
            pace: 1.0,
        }
    }
}

impl RunningSet {
    /// Returns the number of requests that hold a slot.
    pub fn holding(&self) -> usize {
        self.runs.len() - self.overdue
    }

    /// Returns the number of requests, overdue ones included.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Adds a request that starts now.
    pub fn start(&mut self, kind: CallKind, expected: Duration, now: Instant) -> Permit {
        self.runs.insert(Run {
            kind,
            started_at: now,
            expected,
            later_ends: 0,
            is_overdue: false,
        })
    }

    /// Removes a request that has ended; `ran` is whether the backend server has responded.
    pub fn end(&mut self, permit: Permit, ran: bool, now: Instant) -> Option<EndedRun> {
        let run = self.runs.remove(permit)?;
        self.overdue -= usize::from(run.is_overdue);
        let time = now.saturating_duration_since(run.started_at);
        if ran {
            for other in self.runs.values_mut() {
                other.later_ends += u32::from(other.started_at < run.started_at);
            }
            if !run.expected.is_zero() {
                let ratio = time.as_secs_f64() / run.expected.as_secs_f64();
                self.pace += (ratio - self.pace) / PACE_SMOOTHING_DIVISOR;
            }
        }
        Some(EndedRun {
            kind: run.kind,
            time,
        })
    }

    /// Marks the requests whose response is most likely lost, so that they no longer hold one of `slots`; returns
    /// whether there is a new one. `overdue_after` returns the run time that few requests of a kind exceed.
    pub fn mark_overdue(
        &mut self,
        slots: u32,
        overdue_after: impl Fn(&CallKind) -> Option<Duration>,
        now: Instant,
    ) -> bool {
        let max = usize::try_from(slots).unwrap_or(usize::MAX) / MAX_OVERDUE_DIVISOR;
        let pace = self.pace.max(1.0);
        let before = self.overdue;
        for run in self.runs.values_mut() {
            if self.overdue >= max || run.is_overdue || run.later_ends < MIN_LATER_ENDS {
                continue;
            }
            let elapsed = now.saturating_duration_since(run.started_at);
            run.is_overdue =
                overdue_after(&run.kind).is_some_and(|limit| elapsed > limit.mul_f64(pace));
            self.overdue += usize::from(run.is_overdue);
        }
        self.overdue > before
    }

    /// Returns whether the response to a request is most likely lost.
    pub fn is_overdue(&self, permit: Permit) -> bool {
        self.runs.get(permit).is_some_and(|run| run.is_overdue)
    }
}
