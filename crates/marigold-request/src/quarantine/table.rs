//! The quarantine of one daemon: which requests are suspect, refused or cleared.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use marigold_types::{InstanceId, Interval};
use tokio::time::Instant;

use crate::quarantine::{CrashId, CrashRecord, Fingerprint, RunToken};
use crate::{Refusal, RefusalReason};

/// The maximum number of recorded requests.
const MAX_RECORDS: usize = 1024;
/// The maximum number of updates pending for other daemons.
const MAX_UPDATES: usize = 1024;

/// How a request is handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// The request runs concurrently with others.
    Clear,
    /// The request was in flight at one crash: it runs alone and the mesh does not retry it.
    Suspect,
    /// The request was in flight at two crashes: it is refused and has not run.
    Refused(Refusal),
}

#[derive(Debug, Clone)]
struct Entry {
    record: CrashRecord,
    expiry: Instant,
}

/// Records the requests in flight at each crash of this daemon's backend server and of others.
///
/// Every operation on a request takes logarithmic time.
#[derive(Debug, Clone)]
pub struct Quarantine {
    local: InstanceId,
    /// How long a request is recorded after a crash.
    term: Interval,
    /// The requests in progress at the daemon's backend server, with the number of runs of each.
    running: BTreeMap<Fingerprint, u32>,
    /// The number of crashes of the backend server so far.
    crashes: u32,
    entries: BTreeMap<Fingerprint, Entry>,
    expiries: BTreeSet<(Instant, Fingerprint)>,
    /// The requests whose records other daemons have not been sent yet.
    updates: BTreeSet<Fingerprint>,
}

impl Quarantine {
    /// Creates an empty quarantine that records a request for `term`.
    #[must_use]
    pub fn new(local: InstanceId, term: Interval) -> Self {
        Self {
            local,
            term,
            running: BTreeMap::new(),
            crashes: 0,
            entries: BTreeMap::new(),
            expiries: BTreeSet::new(),
            updates: BTreeSet::new(),
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

    /// Returns how to handle a request now.
    pub fn status(&mut self, fingerprint: &Fingerprint, now: Instant) -> QuarantineStatus {
        self.expire(now);
        let Some(entry) = self.entries.get(fingerprint) else {
            return QuarantineStatus::Clear;
        };
        if entry.record.is_refused() {
            let left = interval(entry.expiry.saturating_duration_since(now));
            return QuarantineStatus::Refused(Refusal::retryable(RefusalReason::Quarantined, left));
        }
        if entry.record.is_suspect() {
            QuarantineStatus::Suspect
        } else {
            QuarantineStatus::Clear
        }
    }

    /// Records that a request is forwarded to the backend server.
    #[must_use]
    pub fn record_start(&mut self, fingerprint: Fingerprint) -> RunToken {
        *self.running.entry(fingerprint).or_default() += 1;
        RunToken {
            fingerprint,
            crashes: self.crashes,
        }
    }

    /// Records the answer of the backend server, which clears a suspect request.
    pub fn record_answer(&mut self, run: RunToken, now: Instant) {
        self.record_end(run);
        self.expire(now);
        if let Some(entry) = self.entries.get_mut(&run.fingerprint)
            && entry.record.is_suspect()
        {
            entry.record.cleared = true;
            self.queue_update(run.fingerprint);
        }
    }

    /// Records that a request ended without an answer and without a crash.
    pub fn record_end(&mut self, run: RunToken) {
        // The crash already ended all runs that started before it.
        if run.crashes != self.crashes {
            return;
        }
        if let Some(count) = self.running.get_mut(&run.fingerprint) {
            *count -= 1;
            if *count == 0 {
                self.running.remove(&run.fingerprint);
            }
        }
    }

    /// Records a crash of the daemon's backend server.
    pub fn record_crash(&mut self, now: Instant) {
        let crash = CrashId {
            instance: self.local,
            number: self.crashes,
        };
        self.crashes += 1;
        let running = std::mem::take(&mut self.running);
        for fingerprint in running.into_keys() {
            self.add_crash(fingerprint, crash, now);
        }
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
            self.add_crash(*fingerprint, crash, now);
        }
    }

    /// Merges the records of another daemon.
    pub fn receive(&mut self, records: &[CrashRecord], now: Instant) {
        self.expire(now);
        for record in records {
            self.merge(record, now);
        }
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
        let fingerprints: Vec<_> = self.entries.keys().copied().collect();
        fingerprints
            .iter()
            .filter_map(|fingerprint| self.record(fingerprint, now))
            .collect()
    }

    fn record(&self, fingerprint: &Fingerprint, now: Instant) -> Option<CrashRecord> {
        let entry = self.entries.get(fingerprint)?;
        Some(CrashRecord {
            left: interval(entry.expiry.saturating_duration_since(now)),
            ..entry.record.clone()
        })
    }

    fn add_crash(&mut self, fingerprint: Fingerprint, crash: CrashId, now: Instant) {
        let record = CrashRecord {
            fingerprint,
            crashes: BTreeSet::from([crash]),
            cleared: false,
            left: self.term,
        };
        let is_known = self
            .entries
            .get(&fingerprint)
            .is_some_and(|e| e.record.crashes.contains(&crash));
        if !is_known {
            self.merge(&record, now);
        }
    }

    fn merge(&mut self, record: &CrashRecord, now: Instant) {
        let fingerprint = record.fingerprint;
        let merged = match self.record(&fingerprint, now) {
            None => record.clone(),
            Some(mut own) => {
                if !own.merge(record) {
                    return;
                }
                own
            }
        };
        if merged.left == Interval::default() || merged.crashes.is_empty() {
            return;
        }
        self.remove(&fingerprint);
        self.make_room();
        let expiry = now + merged.left.min(self.term).duration();
        self.expiries.insert((expiry, fingerprint));
        let record = merged;
        self.entries.insert(fingerprint, Entry { record, expiry });
        self.queue_update(fingerprint);
    }

    fn queue_update(&mut self, fingerprint: Fingerprint) {
        if self.updates.len() < MAX_UPDATES {
            self.updates.insert(fingerprint);
        }
    }

    /// If the table is full, removes the record that expires first; refused requests are removed
    /// only if there are no others.
    fn make_room(&mut self) {
        if self.entries.len() < MAX_RECORDS {
            return;
        }
        let is_not_refused =
            |fingerprint: &Fingerprint| !self.entries[fingerprint].record.is_refused();
        let candidate = self
            .expiries
            .iter()
            .find(|(_, fingerprint)| is_not_refused(fingerprint));
        let first = candidate
            .or(self.expiries.first())
            .map(|(_, fingerprint)| *fingerprint);
        if let Some(fingerprint) = first {
            self.remove(&fingerprint);
        }
    }

    fn remove(&mut self, fingerprint: &Fingerprint) {
        if let Some(entry) = self.entries.remove(fingerprint) {
            self.expiries.remove(&(entry.expiry, *fingerprint));
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
