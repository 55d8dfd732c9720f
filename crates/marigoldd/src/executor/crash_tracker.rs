//! Watches which requests are in flight when the backend server crashes. See
//! docs/design/crashing-requests.md.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use marigold_request::quarantine::{
    CrashRecord, Fingerprint, Quarantine, QuarantineStatus, RunToken,
};
use marigold_types::{InstanceId, Interval};
use tokio::sync::Notify;
use tokio::time::Instant;

/// The memory of crashes, for tasks.
pub struct CrashTracker {
    quarantine: Mutex<Quarantine>,
    news: Notify,
}

/// A request that the backend server runs, until its end is known.
pub struct TrackedRun {
    watch: Arc<CrashTracker>,
    run: RunToken,
    done: bool,
}

impl CrashTracker {
    /// Builds an empty memory in which a request stays for `term`.
    #[must_use]
    pub fn new(local: InstanceId, term: Interval) -> Arc<Self> {
        Arc::new(Self {
            quarantine: Mutex::new(Quarantine::new(local, term)),
            news: Notify::new(),
        })
    }

    /// Returns how a request is treated now.
    pub fn status(&self, print: &Fingerprint) -> QuarantineStatus {
        self.lock().status(print, Instant::now())
    }

    /// Counts a request that is handed to the backend server.
    #[must_use]
    pub fn start(self: &Arc<Self>, print: Fingerprint) -> TrackedRun {
        let run = self.lock().record_start(print);
        TrackedRun {
            watch: self.clone(),
            run,
            done: false,
        }
    }

    /// Takes in that the backend server has crashed.
    pub fn record_crash(&self) {
        self.lock().record_crash(Instant::now());
        self.news.notify_one();
    }

    /// Takes what another daemon knows, and returns everything that is known here.
    pub fn receive(&self, sentences: &[CrashRecord]) -> Vec<CrashRecord> {
        let now = Instant::now();
        let mut quarantine = self.lock();
        quarantine.receive(sentences, now);
        quarantine.records(now)
    }

    /// Waits until there may be something that other daemons should know.
    pub async fn wait_for_updates(&self) {
        self.news.notified().await;
    }

    /// Returns what other daemons should know and have not been told.
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
    /// Notes that the request was answered, which clears it of its crashes.
    pub fn answered(mut self) {
        self.done = true;
        self.watch.lock().record_answer(self.run, Instant::now());
        self.watch.news.notify_one();
    }
}

impl Drop for TrackedRun {
    fn drop(&mut self) {
        if !self.done {
            self.watch.lock().record_end(self.run);
        }
    }
}
