//! Counts the runs on the backend server, as evidence on its version.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use marigold_dispatch::{AnnouncementOutcome, CallKind, KindCounts, ServerVersion, VersionCounts};
use marigold_types::ServiceName;
use tokio::time::Instant;

use super::exchange::STATUS_DEADLINE_PASSED;

/// Limit on the kinds that are counted; bounds memory and the size of messages.
const MAX_KINDS: usize = 64;
/// Limit on the current runs of a kind that are reported.
const MAX_OPEN_RUNS: usize = 32;

#[derive(Debug)]
struct OpenRun {
    kind: CallKind,
    began: Instant,
    /// Whether the backend server had been running for long enough to have its usual speed.
    is_warm: bool,
}

#[derive(Debug, Default)]
struct State {
    instance: u64,
    kinds: HashMap<CallKind, KindCounts>,
    open: BTreeMap<u64, OpenRun>,
    last_run: u64,
}

impl State {
    /// Returns the counts of `kind`, or `None` if there are too many kinds.
    fn counts_of(&mut self, kind: &CallKind) -> Option<&mut KindCounts> {
        let is_full = self.kinds.len() >= MAX_KINDS && !self.kinds.contains_key(kind);
        let new = || KindCounts::new(kind.clone());
        (!is_full).then(|| self.kinds.entry(kind.clone()).or_insert_with(new))
    }
}

/// Counts of the runs on the current instance of the backend server.
#[derive(Debug, Default)]
pub struct RunEvidence {
    state: Rc<RefCell<State>>,
    warm_at: Cell<Option<Instant>>,
}

impl RunEvidence {
    /// Applies an announcement that says that the backend server is slow for another `warmup`.
    pub fn announced(&self, outcome: AnnouncementOutcome, warmup: Duration) {
        match outcome {
            AnnouncementOutcome::NewInstance => {
                let last_run = self.state.borrow().last_run;
                *self.state.borrow_mut() = State {
                    instance: rand::random(),
                    last_run,
                    ..State::default()
                };
                self.warm_at.set(None);
            }
            AnnouncementOutcome::Stale => return,
            AnnouncementOutcome::Unchanged | AnnouncementOutcome::Draining => {}
        }
        if !warmup.is_zero() {
            self.warm_at.set(Some(Instant::now() + warmup));
        }
    }

    /// Records that a run of `kind` begins. It counts as given up if it is dropped.
    pub fn start(&self, kind: &CallKind, now: Instant) -> CountedRun {
        let mut state = self.state.borrow_mut();
        state.last_run += 1;
        let id = state.last_run;
        let run = OpenRun {
            kind: kind.clone(),
            began: now,
            is_warm: self.warm_at.get().is_none_or(|at| now >= at),
        };
        state.open.insert(id, run);
        CountedRun {
            state: self.state.clone(),
            id,
        }
    }

    /// Returns the counts of the backend server, which implements `service` in `version`.
    pub fn counts(&self, service: ServiceName, version: ServerVersion) -> VersionCounts {
        let state = self.state.borrow();
        let now = Instant::now();
        let mut kinds = state.kinds.clone();
        for run in state.open.values().filter(|run| run.is_warm) {
            let counts = kinds
                .entry(run.kind.clone())
                .or_insert_with(|| KindCounts::new(run.kind.clone()));
            if counts.open.len() < MAX_OPEN_RUNS {
                counts.open.push(now.saturating_duration_since(run.began));
            }
        }
        VersionCounts {
            service,
            version,
            instance: state.instance,
            kinds: kinds.into_values().collect(),
        }
    }
}

/// A run on the backend server. Dropping it records that nobody waits for the response any more.
#[derive(Debug)]
pub struct CountedRun {
    state: Rc<RefCell<State>>,
    id: u64,
}

impl CountedRun {
    /// Records a response with `status`.
    pub fn answered(self, status: u16) {
        match status {
            STATUS_DEADLINE_PASSED => self.timed_out(Duration::ZERO),
            500.. => self.failed(),
            _ => self.end(false, true),
        }
    }

    /// Records that there was no proper response.
    pub fn failed(self) {
        self.end(true, false);
    }

    /// Records that the deadline ended the run. It says how slow the run was if it had its `expected` time.
    pub fn timed_out(self, expected: Duration) {
        self.end_if(false, true, |time| time >= expected);
    }

    fn end(&self, has_failed: bool, is_timed: bool) {
        self.end_if(has_failed, is_timed, |_| true);
    }

    fn end_if(&self, has_failed: bool, is_timed: bool, counts: impl Fn(Duration) -> bool) {
        let mut state = self.state.borrow_mut();
        let Some(run) = state.open.remove(&self.id) else {
            return;
        };
        let time = run.began.elapsed();
        if !counts(time) {
            return;
        }
        let Some(counts) = state.counts_of(&run.kind) else {
            return;
        };
        counts.ended = counts.ended.saturating_add(1);
        counts.failed = counts.failed.saturating_add(u32::from(has_failed));
        if is_timed && run.is_warm {
            counts.timed = counts.timed.saturating_add(1);
            counts.run_time += time;
        }
    }
}

impl Drop for CountedRun {
    fn drop(&mut self) {
        let mut state = self.state.borrow_mut();
        let Some(run) = state.open.remove(&self.id).filter(|run| run.is_warm) else {
            return;
        };
        if let Some(counts) = state.counts_of(&run.kind) {
            counts.given_up.record(run.began.elapsed());
        }
    }
}
