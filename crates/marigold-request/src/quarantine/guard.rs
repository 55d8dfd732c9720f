//! Who is suspected, who is refused, and who is cleared.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use marigold_types::{InstanceId, Interval};
use tokio::time::Instant;

use crate::quarantine::{CrashId, CrashRecord, Fingerprint, RunToken};
use crate::{Refusal, RefusalReason};

/// The most requests that are remembered.
const MAX_SENTENCES: usize = 1024;
/// The most news held for other daemons.
const MAX_NEWS: usize = 1024;

/// How a request is treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// It runs beside others.
    Clear,
    /// It was in flight at one crash: it runs alone and is not sent again by the mesh.
    Suspect,
    /// It was in flight at two crashes: it is refused and has not run.
    Refused(Refusal),
}

#[derive(Debug, Clone)]
struct Entry {
    sentence: CrashRecord,
    until: Instant,
}

/// Remembers the requests in flight at each crash, of this backend server and of others.
///
/// Every operation on a request takes logarithmic time.
#[derive(Debug, Clone)]
pub struct Quarantine {
    local: InstanceId,
    term: Interval,
    /// Requests that the backend server beside the daemon runs, with how often.
    running: BTreeMap<Fingerprint, u32>,
    crashes: u32,
    entries: BTreeMap<Fingerprint, Entry>,
    ends: BTreeSet<(Instant, Fingerprint)>,
    news: BTreeSet<Fingerprint>,
}

impl Quarantine {
    /// Builds an empty memory in which a request stays for `term`.
    #[must_use]
    pub fn new(local: InstanceId, term: Interval) -> Self {
        Self {
            local,
            term,
            running: BTreeMap::new(),
            crashes: 0,
            entries: BTreeMap::new(),
            ends: BTreeSet::new(),
            news: BTreeSet::new(),
        }
    }

    /// Returns how many requests are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns how a request is treated now.
    pub fn status(&mut self, print: &Fingerprint, now: Instant) -> QuarantineStatus {
        self.expire(now);
        let Some(entry) = self.entries.get(print) else {
            return QuarantineStatus::Clear;
        };
        if entry.sentence.is_refused() {
            let left = interval(entry.until.saturating_duration_since(now));
            return QuarantineStatus::Refused(Refusal::retryable(RefusalReason::Quarantined, left));
        }
        if entry.sentence.is_suspect() {
            QuarantineStatus::Suspect
        } else {
            QuarantineStatus::Clear
        }
    }

    /// Counts a request that is handed to the backend server.
    #[must_use]
    pub fn record_start(&mut self, print: Fingerprint) -> RunToken {
        *self.running.entry(print).or_default() += 1;
        RunToken {
            fingerprint: print,
            crashes: self.crashes,
        }
    }

    /// Counts a request that the backend server has answered, which clears it of its crashes.
    pub fn record_answer(&mut self, run: RunToken, now: Instant) {
        self.record_end(run);
        self.expire(now);
        if let Some(entry) = self.entries.get_mut(&run.fingerprint)
            && entry.sentence.is_suspect()
        {
            entry.sentence.cleared = true;
            self.tell(run.fingerprint);
        }
    }

    /// Counts a request that ended without an answer and without a crash.
    pub fn record_end(&mut self, run: RunToken) {
        // The crash has ended the runs of earlier lives already.
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

    /// Takes in that the backend server beside the daemon has crashed.
    pub fn record_crash(&mut self, now: Instant) {
        let crash = CrashId {
            instance: self.local,
            number: self.crashes,
        };
        self.crashes += 1;
        let running = std::mem::take(&mut self.running);
        for print in running.into_keys() {
            self.accuse(print, crash, now);
        }
    }

    /// Takes in that a whole instance is gone with these requests of this ingress in flight.
    pub fn record_lost_instance(
        &mut self,
        instance: InstanceId,
        prints: &[Fingerprint],
        now: Instant,
    ) {
        let crash = CrashId {
            instance,
            number: u32::MAX,
        };
        for print in prints {
            self.accuse(*print, crash, now);
        }
    }

    /// Takes what another daemon knows.
    pub fn receive(&mut self, sentences: &[CrashRecord], now: Instant) {
        self.expire(now);
        for sentence in sentences {
            self.join(sentence, now);
        }
    }

    /// Returns what has changed since the last time, to be sent to a few daemons.
    pub fn take_updates(&mut self, now: Instant) -> Vec<CrashRecord> {
        self.expire(now);
        let news = std::mem::take(&mut self.news);
        news.iter()
            .filter_map(|print| self.sentence(print, now))
            .collect()
    }

    /// Returns everything that is remembered, for a daemon that has just started.
    pub fn records(&mut self, now: Instant) -> Vec<CrashRecord> {
        self.expire(now);
        let prints: Vec<_> = self.entries.keys().copied().collect();
        prints
            .iter()
            .filter_map(|print| self.sentence(print, now))
            .collect()
    }

    fn sentence(&self, print: &Fingerprint, now: Instant) -> Option<CrashRecord> {
        let entry = self.entries.get(print)?;
        Some(CrashRecord {
            left: interval(entry.until.saturating_duration_since(now)),
            ..entry.sentence.clone()
        })
    }

    fn accuse(&mut self, print: Fingerprint, crash: CrashId, now: Instant) {
        let sentence = CrashRecord {
            fingerprint: print,
            crashes: BTreeSet::from([crash]),
            cleared: false,
            left: self.term,
        };
        let is_known = self
            .entries
            .get(&print)
            .is_some_and(|e| e.sentence.crashes.contains(&crash));
        if !is_known {
            self.join(&sentence, now);
        }
    }

    fn join(&mut self, sentence: &CrashRecord, now: Instant) {
        let print = sentence.fingerprint;
        let merged = match self.sentence(&print, now) {
            None => sentence.clone(),
            Some(mut own) => {
                if !own.merge(sentence) {
                    return;
                }
                own
            }
        };
        if merged.left == Interval::default() || merged.crashes.is_empty() {
            return;
        }
        self.remove(&print);
        self.make_room();
        let until = now + merged.left.min(self.term).duration();
        self.ends.insert((until, print));
        let sentence = merged;
        self.entries.insert(print, Entry { sentence, until });
        self.tell(print);
    }

    fn tell(&mut self, print: Fingerprint) {
        if self.news.len() < MAX_NEWS {
            self.news.insert(print);
        }
    }

    /// Forgets the request that would be forgotten first, and suspects before refused ones.
    fn make_room(&mut self) {
        if self.entries.len() < MAX_SENTENCES {
            return;
        }
        let is_light = |print: &Fingerprint| !self.entries[print].sentence.is_refused();
        let light = self.ends.iter().find(|(_, print)| is_light(print));
        let first = light.or(self.ends.first()).map(|(_, print)| *print);
        if let Some(print) = first {
            self.remove(&print);
        }
    }

    fn remove(&mut self, print: &Fingerprint) {
        if let Some(entry) = self.entries.remove(print) {
            self.ends.remove(&(entry.until, *print));
        }
    }

    fn expire(&mut self, now: Instant) {
        while let Some(&(until, print)) = self.ends.first() {
            if until > now {
                break;
            }
            self.remove(&print);
        }
    }
}

fn interval(time: Duration) -> Interval {
    Interval::from_millis(u64::try_from(time.as_millis()).unwrap_or(u64::MAX))
}
