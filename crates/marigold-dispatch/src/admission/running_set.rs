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
/// Requests that took an overdue one's slot and have ended in the usual time, after which the backend server can no
/// longer be running the overdue one.
const MIN_CALM_ENDS: u32 = 3;
/// The greatest pace at which a backend server counts as running all requests at once, none of them queued.
const MAX_CALM_PACE: f64 = 1.25;
/// The divisor of the moving average of the part of the responses that are lost: a new run has a weight of 1/32.
const LOSS_SMOOTHING_DIVISOR: f64 = 32.0;
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
    /// When it was found to be overdue.
    overdue_at: Option<Instant>,
    /// Requests that started after it was found to be overdue and have ended while the backend server was calm.
    calm_ends: u32,
}

impl Run {
    /// Returns whether its slot was given away although the backend server may still run it.
    fn may_still_run(&self) -> bool {
        self.overdue_at.is_some() && self.calm_ends < MIN_CALM_ENDS
    }
}

/// The requests that were sent to the backend server and have not ended.
#[derive(Debug)]
pub struct RunningSet {
    runs: SlotMap<Permit, Run>,
    overdue: usize,
    /// The run times of late, relative to the mean of their kinds: above 1 while the backend server is slow.
    pace: f64,
    /// The part of the responses of late that are lost, as far as known.
    lost_ratio: f64,
}

impl Default for RunningSet {
    fn default() -> Self {
        Self {
            runs: SlotMap::with_key(),
            overdue: 0,
            pace: 1.0,
            lost_ratio: 0.0,
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
            overdue_at: None,
            calm_ends: 0,
        })
    }

    /// Removes a request that has ended; `ran` is whether the backend server has responded.
    pub fn end(&mut self, permit: Permit, ran: bool, now: Instant) -> Option<EndedRun> {
        let run = self.runs.remove(permit)?;
        self.overdue -= usize::from(run.overdue_at.is_some());
        let time = now.saturating_duration_since(run.started_at);
        if ran {
            self.lost_ratio -= self.lost_ratio / LOSS_SMOOTHING_DIVISOR;
            if !run.expected.is_zero() {
                let ratio = time.as_secs_f64() / run.expected.as_secs_f64();
                self.pace += (ratio - self.pace) / PACE_SMOOTHING_DIVISOR;
            }
            let is_calm = self.pace <= MAX_CALM_PACE;
            for other in self.runs.values_mut() {
                other.later_ends += u32::from(other.started_at < run.started_at);
                let took_slot = other.overdue_at.is_some_and(|at| at <= run.started_at);
                other.calm_ends += u32::from(is_calm && took_slot);
            }
        }
        Some(EndedRun {
            kind: run.kind,
            time,
        })
    }

    /// Marks the requests whose response is most likely lost, so that they no longer hold one of `slots`; returns
    /// whether there is a new one. `overdue_after` returns the run time that few requests of a kind exceed, given the part
    /// of the responses that are lost.
    pub fn mark_overdue(
        &mut self,
        slots: u32,
        overdue_after: impl Fn(&CallKind, f64) -> Option<Duration>,
        now: Instant,
    ) -> bool {
        let slots = usize::try_from(slots).unwrap_or(usize::MAX);
        let pace = self.pace.max(1.0);
        let before = self.overdue;
        let mut running = self.runs.values().filter(|run| run.may_still_run()).count();
        for run in self.runs.values_mut() {
            let is_full = running >= slots / MAX_OVERDUE_DIVISOR || self.overdue >= slots;
            if is_full || run.overdue_at.is_some() || run.later_ends < MIN_LATER_ENDS {
                continue;
            }
            let elapsed = now.saturating_duration_since(run.started_at);
            let limit = overdue_after(&run.kind, self.lost_ratio);
            if limit.is_some_and(|limit| elapsed > limit.mul_f64(pace)) {
                run.overdue_at = Some(now);
                running += 1;
                self.overdue += 1;
                self.lost_ratio += (1.0 - self.lost_ratio) / LOSS_SMOOTHING_DIVISOR;
            }
        }
        self.overdue > before
    }

    /// Returns whether the response to a request is most likely lost.
    pub fn is_overdue(&self, permit: Permit) -> bool {
        self.runs
            .get(permit)
            .is_some_and(|run| run.overdue_at.is_some())
    }
}
