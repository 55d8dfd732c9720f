//! The runs at the daemon's backend server to which its end may be due.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use tokio::time::Instant;

use crate::quarantine::{EventNumber, Fingerprint, RunToken};

/// A run that ended without an answer counts as in flight until the backend server answers another request this
/// much later, since it may go on with the run, and may have crashed unnoticed.
const ABANDONED_TTL: Duration = Duration::from_secs(1);
/// The maximum number of such runs, and of those whose exchange broke.
const MAX_UNANSWERED: usize = 64;

/// The runs of one request in progress.
#[derive(Debug, Clone, Copy)]
struct Running {
    count: u32,
    exclusive: bool,
    /// The start of the first of them.
    started: EventNumber,
}

/// A run that ended without an answer.
#[derive(Debug, Clone, Copy)]
struct Unanswered {
    run: RunToken,
    /// When nobody waited for the answer any more, or the exchange broke.
    at: Instant,
    ended: EventNumber,
}

/// The runs that are or may be in flight at the daemon's backend server, and the order of what was seen of it.
///
/// An exchange that breaks without a response may be the first sign that the backend server has ended, although others
/// stay open and say nothing. Such a run is suspected before all others until the backend server shows that it lives,
/// and no run that started later is.
#[derive(Debug, Clone, Default)]
pub struct InFlight {
    latest: EventNumber,
    /// The number of crashes of the backend server so far.
    crashes: u32,
    running: BTreeMap<Fingerprint, Running>,
    abandoned: VecDeque<Unanswered>,
    broken: VecDeque<Unanswered>,
}

impl InFlight {
    /// Returns the number of crashes of the backend server so far.
    pub fn crashes(&self) -> u32 {
        self.crashes
    }

    /// Returns the number of the latest event.
    pub fn latest(&self) -> EventNumber {
        self.latest
    }

    /// Records the start of a run.
    pub fn start(&mut self, fingerprint: Fingerprint, exclusive: bool) -> RunToken {
        let started = self.next_event();
        let running = self.running.entry(fingerprint).or_insert(Running {
            count: 0,
            exclusive: false,
            started,
        });
        running.count += 1;
        running.exclusive |= exclusive;
        RunToken {
            fingerprint,
            exclusive,
            crashes: self.crashes,
            started,
        }
    }

    /// Returns whether a run is at the current process: a crash has ended all runs that started before it.
    pub fn is_current(&self, run: RunToken) -> bool {
        run.crashes == self.crashes
    }

    /// Records that a run is over.
    pub fn end(&mut self, run: RunToken) {
        if !self.is_current(run) {
            return;
        }
        if let Some(running) = self.running.get_mut(&run.fingerprint) {
            running.count -= 1;
            if running.count == 0 {
                self.running.remove(&run.fingerprint);
            }
        }
    }

    /// Records that nobody waits for the answer of a run any more.
    pub fn abandon(&mut self, run: RunToken, now: Instant) {
        let unanswered = self.unanswered(run, now);
        push_bounded(&mut self.abandoned, unanswered);
    }

    /// Records that the exchange of a run broke without a response.
    pub fn break_off(&mut self, run: RunToken, now: Instant) {
        let unanswered = self.unanswered(run, now);
        push_bounded(&mut self.broken, unanswered);
    }

    /// Records an answer at `now`; returns the exclusive runs that are known to be harmless by it.
    pub fn answer(&mut self, run: RunToken, now: Instant) -> Vec<Fingerprint> {
        let mut cleared = Vec::new();
        let is_over = |run: &mut Unanswered| now.saturating_duration_since(run.at) >= ABANDONED_TTL;
        while let Some(over) = self.abandoned.pop_front_if(is_over) {
            cleared.extend(over.run.exclusive.then_some(over.run.fingerprint));
        }
        if self.is_current(run) {
            cleared.extend(self.clear_broken(run.started));
        }
        cleared
    }

    /// Drops the runs whose exchange broke before `event`, since which the backend server has responded to something that
    /// was sent after it; returns the exclusive ones among them.
    pub fn clear_broken(&mut self, event: EventNumber) -> Vec<Fingerprint> {
        let mut cleared = Vec::new();
        let is_before = |run: &mut Unanswered| run.ended <= event;
        while let Some(over) = self.broken.pop_front_if(is_before) {
            cleared.extend(over.run.exclusive.then_some(over.run.fingerprint));
        }
        cleared
    }

    /// Returns the requests that run exclusively.
    pub fn exclusive(&self) -> Vec<Fingerprint> {
        let running = self.running.iter();
        let exclusive = running.filter(|(_, running)| running.exclusive);
        exclusive.map(|(fingerprint, _)| *fingerprint).collect()
    }

    /// Returns the requests to which an end of the backend server may be due, and which of them run exclusively. Exchanges
    /// that broke longer than `memory` ago say nothing of it.
    pub fn suspects(&mut self, memory: Duration, now: Instant) -> BTreeMap<Fingerprint, bool> {
        let is_old = |run: &mut Unanswered| now.saturating_duration_since(run.at) >= memory;
        while self.broken.pop_front_if(is_old).is_some() {}
        let first_sign = self.broken.front().map(|run| run.ended);
        let is_before = |started: EventNumber| first_sign.is_none_or(|sign| started < sign);
        let mut suspects = BTreeMap::new();
        for (fingerprint, running) in &self.running {
            // A broken exchange is stronger evidence than one that is merely open.
            let is_suspect = first_sign.is_none() || running.exclusive;
            if is_suspect && is_before(running.started) {
                suspects.insert(*fingerprint, running.exclusive);
            }
        }
        let abandoned = self.abandoned.iter();
        let abandoned = abandoned.filter(|unanswered| is_before(unanswered.run.started));
        for unanswered in abandoned.chain(&self.broken) {
            let run = unanswered.run;
            *suspects.entry(run.fingerprint).or_default() |= run.exclusive;
        }
        suspects
    }

    /// Records that the backend server has ended: nothing is in flight at the next one.
    pub fn crash(&mut self) {
        self.crashes += 1;
        self.running.clear();
        self.abandoned.clear();
        self.broken.clear();
    }

    fn next_event(&mut self) -> EventNumber {
        self.latest = EventNumber(self.latest.0 + 1);
        self.latest
    }

    fn unanswered(&mut self, run: RunToken, now: Instant) -> Unanswered {
        Unanswered {
            run,
            at: now,
            ended: self.next_event(),
        }
    }
}

fn push_bounded(runs: &mut VecDeque<Unanswered>, run: Unanswered) {
    if runs.len() == MAX_UNANSWERED {
        runs.pop_front();
    }
    runs.push_back(run);
}
