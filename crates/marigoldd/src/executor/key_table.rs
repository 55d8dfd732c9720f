//! The executor's table of keys, shared between tasks.

use std::sync::{Mutex, MutexGuard, PoisonError};

use marigold_request::Refusal;
use marigold_request::WitnessAnswer;
use marigold_request::at_most_once::{
    BeginDecision, EntryKey, ExecutorLimits, ExecutorTable, RequestKey, RunOutcome, StartDecision,
};
use marigold_types::{ByteSize, Digest, InstanceId};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

/// The maximum size of one stored answer.
pub const MAX_ANSWER_BYTES: ByteSize = ByteSize(64 << 10);
/// The maximum size of all stored answers together.
const MAX_TOTAL_BYTES: ByteSize = ByteSize(16 << 20);

/// An [`ExecutorTable`] shared between tasks, with notification of each run that ends.
pub struct KeyTable {
    table: Mutex<ExecutorTable>,
    run_ended: Notify,
}

impl KeyTable {
    /// Creates an empty table of at most `max_keys` keys for the instance `local`.
    #[must_use]
    pub fn new(local: InstanceId, max_keys: u32) -> Self {
        let limits = ExecutorLimits {
            max_keys: usize::try_from(max_keys).unwrap_or(usize::MAX),
            max_total_bytes: MAX_TOTAL_BYTES,
            max_answer_bytes: MAX_ANSWER_BYTES,
        };
        Self {
            table: Mutex::new(ExecutorTable::new(local, limits)),
            run_ended: Notify::new(),
        }
    }

    /// Decides how to handle a request that carries `key`, after waiting for a run in progress.
    ///
    /// Returns `None` if that run is still in progress at `deadline`.
    pub async fn begin(
        &self,
        key: &RequestKey,
        digest: Digest,
        deadline: Instant,
    ) -> Option<BeginDecision> {
        loop {
            let run_ended = self.run_ended.notified();
            tokio::pin!(run_ended);
            // Registered before the table is read, so that no end is missed.
            run_ended.as_mut().enable();
            match self.table().begin(key, digest) {
                BeginDecision::Wait(_) => {}
                other => return Some(other),
            }
            timeout_at(deadline, run_ended).await.ok()?;
        }
    }

    /// Decides whether a pending request may run, from the witness's answer.
    pub fn start(&self, id: EntryKey, answer: Option<&WitnessAnswer>) -> StartDecision {
        let start = self.table().start(id, answer);
        if matches!(start, StartDecision::NotRun(_)) {
            self.run_ended.notify_waiters();
        }
        start
    }

    /// Refuses a pending request for good; returns whether it may be reported as *not run*.
    pub fn refuse(&self, id: EntryKey, refusal: Refusal) -> bool {
        let is_not_run = self.table().refuse(id, refusal);
        self.run_ended.notify_waiters();
        is_not_run
    }

    /// Records how a run ended.
    pub fn finish(&self, id: EntryKey, outcome: RunOutcome) {
        self.table().finish(id, outcome);
        self.run_ended.notify_waiters();
    }

    /// Locks the table for maintenance. Waiting requests are not notified of changes.
    pub fn table(&self) -> MutexGuard<'_, ExecutorTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
