//! Tracks which requests are in flight when the backend server crashes. See
//! docs/design/crashing-requests.md.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use marigold_request::quarantine::{
    CrashRecord, Fingerprint, Quarantine, QuarantinePolicy, QuarantineStatus, RunToken,
};
use marigold_types::{InstanceId, Interval};
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

/// A [`Quarantine`] shared between tasks, with notification of updates for other daemons.
pub struct CrashTracker {
    quarantine: Mutex<Quarantine>,
    updated: Notify,
    /// Whether the records of other daemons have been fetched since the start.
    synced: watch::Sender<bool>,
}

/// A request that is running on the backend server.
pub struct TrackedRun {
    tracker: Arc<CrashTracker>,
    run: RunToken,
    answered: bool,
}

impl CrashTracker {
    /// Creates a tracker that keeps a request in quarantine for `term`.
    #[must_use]
    pub fn new(local: InstanceId, term: Interval) -> Arc<Self> {
        Arc::new(Self {
            quarantine: Mutex::new(Quarantine::new(local, QuarantinePolicy::fixed(term))),
            updated: Notify::new(),
            synced: watch::Sender::new(false),
        })
    }

    /// Waits until the records of other daemons have been fetched, as far as these answered.
    pub async fn wait_until_synced(&self) {
        // The sender is not dropped during the wait.
        let _ = self.synced.subscribe().wait_for(|synced| *synced).await;
    }

    /// Ends all waits for the records of other daemons.
    pub fn set_synced(&self) {
        self.synced.send_replace(true);
    }

    /// Returns whether a request may run now.
    pub fn status(&self, fingerprint: &Fingerprint) -> QuarantineStatus {
        self.lock().status(fingerprint, Instant::now())
    }

    /// Records a request that is forwarded to the backend server, `exclusive` if beside no other one.
    #[must_use]
    pub fn start(self: &Arc<Self>, fingerprint: Fingerprint, exclusive: bool) -> TrackedRun {
        let run = self.lock().record_start(fingerprint, exclusive);
        TrackedRun {
            tracker: self.clone(),
            run,
            answered: false,
        }
    }

    /// Records that the backend server has crashed.
    pub fn record_crash(&self) {
        self.lock().record_crash(Instant::now());
        self.updated.notify_one();
    }

    /// Merges the records of another daemon, and returns all records known here.
    pub fn receive(&self, records: &[CrashRecord]) -> Vec<CrashRecord> {
        let now = Instant::now();
        let mut quarantine = self.lock();
        quarantine.receive(records, now);
        quarantine.records(now)
    }

    /// Waits until there may be records to send to other daemons.
    pub async fn wait_for_updates(&self) {
        self.updated.notified().await;
    }

    /// Returns the records that have not been sent to other daemons yet.
    pub fn take_updates(&self) -> Vec<CrashRecord> {
        self.lock().take_updates(Instant::now())
    }

    fn lock(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl TrackedRun {
    /// Records that the request was answered, which clears its crash records.
    pub fn answered(mut self) {
        self.answered = true;
        self.tracker.lock().record_answer(self.run, Instant::now());
        self.tracker.updated.notify_one();
    }
}

impl Drop for TrackedRun {
    fn drop(&mut self) {
        if !self.answered {
            let mut quarantine = self.tracker.lock();
            quarantine.record_abandoned(self.run, Instant::now());
            drop(quarantine);
            self.tracker.updated.notify_one();
        }
    }
}
