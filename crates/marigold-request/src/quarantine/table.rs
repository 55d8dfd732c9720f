//! The quarantine of one daemon: which requests are suspect, refused or cleared.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use marigold_types::{InstanceId, Interval};
use tokio::time::Instant;

use crate::quarantine::in_flight::InFlight;
use crate::quarantine::{
    CrashId, CrashRecord, EventNumber, Fingerprint, QuarantinePolicy, RunToken,
};
use crate::{Refusal, RefusalReason};

/// The maximum number of recorded requests.
const MAX_RECORDS: usize = 1024;
/// The maximum number of updates pending for other daemons.
const MAX_UPDATES: usize = 1024;
/// When to return with a request whose exclusive run has an unknown outcome. It is known when the backend server
/// answers another request or the next instance announces itself, neither of which can be predicted.
const HOLD_RETRY_DELAY: Interval = Interval::from_millis(500);

/// How a request is handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// The request runs concurrently with others.
    Clear,
    /// The request was in flight at crashes: it only runs exclusively, and the mesh does not retry it.
    Suspect,
    /// A backend server crashed during an exclusive run of the request, or may have: it is refused and has not run.
    Refused(Refusal),
}

#[derive(Debug, Clone)]
struct Entry {
    /// The ages are as of `crashed_at` and `held_at`.
    record: CrashRecord,
    crashed_at: Instant,
    held_at: Instant,
}

/// Records the requests in flight at each crash of this daemon's backend server and of others.
///
/// Every operation on a request takes logarithmic time, unless the table is full.
#[derive(Debug, Clone)]
pub struct Quarantine {
    local: InstanceId,
    policy: QuarantinePolicy,
    in_flight: InFlight,
    entries: BTreeMap<Fingerprint, Entry>,
    expiries: BTreeSet<(Instant, Fingerprint)>,
    /// The requests whose records other daemons have not been sent yet.
    updates: BTreeSet<Fingerprint>,
    /// The records dropped since the last call of [`Quarantine::take_dropped`].
    dropped: u32,
}

impl Quarantine {
    /// Creates an empty quarantine.
    #[must_use]
    pub fn new(local: InstanceId, policy: QuarantinePolicy) -> Self {
        Self {
            local,
            policy,
            in_flight: InFlight::default(),
            entries: BTreeMap::new(),
            expiries: BTreeSet::new(),
            updates: BTreeSet::new(),
            dropped: 0,
        }
    }

    /// Returns the number of recorded requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request is recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of records dropped for lack of room since the last call.
    pub fn take_dropped(&mut self) -> u32 {
        std::mem::take(&mut self.dropped)
    }

    /// Returns how to handle a request now.
    pub fn status(&mut self, fingerprint: &Fingerprint, now: Instant) -> QuarantineStatus {
        self.expire(now);
        let Some(record) = self.record(fingerprint, now) else {
            return QuarantineStatus::Clear;
        };
        if let Some(left) = record.refused_for(&self.policy) {
            let left = interval(left);
            QuarantineStatus::Refused(Refusal::retryable(RefusalReason::Quarantined, left))
        } else if let Some(left) = record.held_for(&self.policy) {
            let delay = interval(left).min(HOLD_RETRY_DELAY);
            QuarantineStatus::Refused(Refusal::retryable(RefusalReason::Quarantined, delay))
        } else if record.is_suspect(&self.policy) {
            QuarantineStatus::Suspect
        } else {
            QuarantineStatus::Clear
        }
    }

    /// Records that a request is forwarded to the backend server; `exclusive` states whether it runs as
    /// [`QuarantineStatus::Suspect`] demands.
    #[must_use]
    pub fn record_start(&mut self, fingerprint: Fingerprint, exclusive: bool) -> RunToken {
        self.in_flight.start(fingerprint, exclusive)
    }

    /// Returns the number of the latest event at the backend server, for [`Self::record_alive`].
    #[must_use]
    pub fn latest_event(&self) -> EventNumber {
        self.in_flight.latest()
    }

    /// Records the answer of the backend server, which clears a request that was in flight at crashes.
    pub fn record_answer(&mut self, run: RunToken, now: Instant) {
        self.in_flight.end(run);
        self.expire(now);
        for fingerprint in self.in_flight.answer(run, now) {
            self.close_hold(fingerprint, now);
        }
        if let Some(entry) = self.entries.get_mut(&run.fingerprint)
            && !entry.record.is_cleared()
        {
            entry.record.clear();
            self.queue_update(run.fingerprint);
        }
    }

    /// Records that the backend server is known to be done with a request that it did not answer.
    pub fn record_refusal(&mut self, run: RunToken, now: Instant) {
        self.in_flight.end(run);
        if run.exclusive && self.in_flight.is_current(run) {
            self.close_hold(run.fingerprint, now);
        }
    }

    /// Records that nobody waits for the answer to a request any more. The backend server may still run it. After an
    /// exclusive run no daemon runs the request until the outcome is known.
    pub fn record_abandoned(&mut self, run: RunToken, now: Instant) {
        if self.in_flight.is_current(run) {
            self.in_flight.abandon(run, now);
            self.open_hold_of(run, now);
        }
        self.in_flight.end(run);
    }

    /// Records that the exchange of a request broke without a response. The backend server may have ended by it, which
    /// may show later; after an exclusive run no daemon runs the request until the outcome is known.
    pub fn record_broken(&mut self, run: RunToken, now: Instant) {
        if self.in_flight.is_current(run) {
            self.in_flight.break_off(run, now);
            self.open_hold_of(run, now);
        }
        self.in_flight.end(run);
    }

    /// Records that the backend server has responded to a health check that was sent after `event`: it has outlived the
    /// exchanges that broke before.
    pub fn record_alive(&mut self, event: EventNumber, now: Instant) {
        for fingerprint in self.in_flight.clear_broken(event) {
            self.close_hold(fingerprint, now);
        }
    }

    /// Records that nothing is heard from the daemon's backend server any more, so that it may have ended; returns the
    /// records of the requests in flight. The runs go on: the server answers again, or its crash is recorded.
    pub fn record_silence(&mut self, now: Instant) -> Vec<CrashRecord> {
        let crash = self.next_crash();
        let suspects = (self.in_flight).suspects(self.policy.hold.duration(), now);
        for (fingerprint, exclusive) in &suspects {
            if *exclusive {
                self.open_hold(*fingerprint, now);
            } else {
                self.change(*fingerprint, now, |record| record.add_crash(crash));
            }
        }
        let prints = suspects.into_keys();
        prints
            .filter_map(|print| self.record(&print, now))
            .collect()
    }

    /// Records that the daemon's backend server is heard again after a silence.
    pub fn record_sound(&mut self, now: Instant) {
        let mut outlived = self.in_flight.exclusive();
        outlived.extend(self.in_flight.clear_broken(self.in_flight.latest()));
        for fingerprint in outlived {
            self.close_hold(fingerprint, now);
        }
    }

    /// Records a crash of the daemon's backend server; returns the records of the requests in flight.
    pub fn record_crash(&mut self, now: Instant) -> Vec<CrashRecord> {
        let crash = self.next_crash();
        let suspects = (self.in_flight).suspects(self.policy.hold.duration(), now);
        self.in_flight.crash();
        let add = |(fingerprint, exclusive)| {
            self.change(fingerprint, now, |record| {
                if exclusive {
                    record.add_trial();
                } else {
                    record.add_crash(crash);
                }
            });
            self.record(&fingerprint, now)
        };
        suspects.into_iter().filter_map(add).collect()
    }

    /// Records the loss of an instance while these requests from this ingress were in flight to it.
    pub fn record_lost_instance(
        &mut self,
        instance: InstanceId,
        fingerprints: &[Fingerprint],
        now: Instant,
    ) {
        let crash = CrashId {
            instance,
            number: u32::MAX,
        };
        for fingerprint in fingerprints {
            self.change(*fingerprint, now, |record| record.add_crash(crash));
        }
    }

    /// Merges the records of another daemon.
    pub fn receive(&mut self, records: &[CrashRecord], now: Instant) {
        self.expire(now);
        for record in records {
            let Some(known) = self.record(&record.fingerprint, now) else {
                self.put(record.clone(), now, true);
                continue;
            };
            let mut merged = known.clone();
            let has_news = merged.merge(record);
            if merged != known {
                self.put(merged, now, has_news);
            }
        }
    }

    /// Returns whether [`Quarantine::take_updates`] may return any records.
    #[must_use]
    pub fn has_updates(&self) -> bool {
        !self.updates.is_empty()
    }

    /// Returns the records that changed since the last call, to be sent to other daemons.
    pub fn take_updates(&mut self, now: Instant) -> Vec<CrashRecord> {
        self.expire(now);
        let updates = std::mem::take(&mut self.updates);
        updates
            .iter()
            .filter_map(|fingerprint| self.record(fingerprint, now))
            .collect()
    }

    /// Returns all records, for a daemon that has just started.
    pub fn records(&mut self, now: Instant) -> Vec<CrashRecord> {
        self.expire(now);
        let fingerprints = self.entries.keys();
        fingerprints
            .filter_map(|fingerprint| self.record(fingerprint, now))
            .collect()
    }

    fn record(&self, fingerprint: &Fingerprint, now: Instant) -> Option<CrashRecord> {
        let entry = self.entries.get(fingerprint)?;
        let held_for = now.saturating_duration_since(entry.held_at);
        Some(CrashRecord {
            age: interval(now.saturating_duration_since(entry.crashed_at)),
            hold: entry.record.hold.with_age(interval(held_for)),
            ..entry.record.clone()
        })
    }

    /// Returns the name of the next crash of the daemon's backend server.
    fn next_crash(&self) -> CrashId {
        CrashId {
            instance: self.local,
            number: self.in_flight.crashes(),
        }
    }

    /// Awaits the outcome of an exclusive run, unless an answer has cleared the request meanwhile.
    fn open_hold(&mut self, fingerprint: Fingerprint, now: Instant) {
        let record = self.record(&fingerprint, now);
        if !record.is_some_and(|record| record.is_suspect(&self.policy)) {
            return;
        }
        self.change(fingerprint, now, |record| record.hold.open());
    }

    fn open_hold_of(&mut self, run: RunToken, now: Instant) {
        if run.exclusive {
            self.open_hold(run.fingerprint, now);
        }
    }

    fn close_hold(&mut self, fingerprint: Fingerprint, now: Instant) {
        if self.entries.contains_key(&fingerprint) {
            self.change(fingerprint, now, |record| record.hold.close());
        }
    }

    fn change(
        &mut self,
        fingerprint: Fingerprint,
        now: Instant,
        change: impl FnOnce(&mut CrashRecord),
    ) {
        let known = self.record(&fingerprint, now);
        let mut record = known
            .clone()
            .unwrap_or_else(|| CrashRecord::new(fingerprint));
        change(&mut record);
        if known.as_ref() != Some(&record) {
            self.put(record, now, true);
        }
    }

    /// Inserts or replaces a record; `has_news` states whether other daemons are to be told.
    fn put(&mut self, record: CrashRecord, now: Instant, has_news: bool) {
        let fingerprint = record.fingerprint;
        let crashed_at = now.checked_sub(record.age.duration()).unwrap_or(now);
        let held_at = now.checked_sub(record.hold.age.duration());
        let held_at = held_at.unwrap_or(now);
        let expiry = crashed_at + self.policy.memory.duration();
        if expiry <= now {
            return;
        }
        self.remove(&fingerprint);
        self.make_room();
        self.expiries.insert((expiry, fingerprint));
        let entry = Entry {
            record,
            crashed_at,
            held_at,
        };
        self.entries.insert(fingerprint, entry);
        if has_news {
            self.queue_update(fingerprint);
        }
    }

    fn queue_update(&mut self, fingerprint: Fingerprint) {
        if self.updates.len() < MAX_UPDATES {
            self.updates.insert(fingerprint);
        }
    }

    /// If the table is full, removes the record that expires first among the least important ones: cleared
    /// requests go before suspects, and these before requests that crashed a backend server on their own.
    fn make_room(&mut self) {
        if self.entries.len() < MAX_RECORDS {
            return;
        }
        let importance = |fingerprint: &Fingerprint| {
            let record = &self.entries[fingerprint].record;
            (record.trials > 0, !record.is_cleared())
        };
        let first = self
            .expiries
            .iter()
            .map(|(_, fingerprint)| *fingerprint)
            .min_by_key(importance);
        if let Some(fingerprint) = first {
            self.remove(&fingerprint);
            self.dropped += 1;
        }
    }

    fn remove(&mut self, fingerprint: &Fingerprint) {
        if let Some(entry) = self.entries.remove(fingerprint) {
            let expiry = entry.crashed_at + self.policy.memory.duration();
            self.expiries.remove(&(expiry, *fingerprint));
        }
    }

    fn expire(&mut self, now: Instant) {
        while let Some(&(expiry, fingerprint)) = self.expiries.first() {
            if expiry > now {
                break;
            }
            self.remove(&fingerprint);
        }
    }
}

fn interval(time: Duration) -> Interval {
    Interval::from_millis(u64::try_from(time.as_millis()).unwrap_or(u64::MAX))
}
