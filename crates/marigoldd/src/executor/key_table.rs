//! The executor's table of keys, for tasks.

use std::sync::{Mutex, MutexGuard, PoisonError};

use marigold_request::Refusal;
use marigold_request::WitnessAnswer;
use marigold_request::at_most_once::{
    BeginDecision, EntryKey, ExecutorLimits, ExecutorTable, RequestKey, RunOutcome, StartDecision,
};
use marigold_types::{ByteSize, Digest, InstanceId};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

/// The most bytes of one stored answer.
pub const ANSWER_BYTES: ByteSize = ByteSize(64 << 10);
/// The most bytes of all stored answers.
const TOTAL_BYTES: ByteSize = ByteSize(16 << 20);

/// The keys that name this daemon, with a bell for those who wait for a run to end.
pub struct KeyTable {
    table: Mutex<ExecutorTable>,
    ended: Notify,
}

impl KeyTable {
    /// Builds an empty table of at most `keys` for the life `local`.
    #[must_use]
    pub fn new(local: InstanceId, keys: u32) -> Self {
        let limits = ExecutorLimits {
            max_keys: usize::try_from(keys).unwrap_or(usize::MAX),
            max_total_bytes: TOTAL_BYTES,
            max_answer_bytes: ANSWER_BYTES,
        };
        Self {
            table: Mutex::new(ExecutorTable::new(local, limits)),
            ended: Notify::new(),
        }
    }

    /// Decides on a request with `key`, waiting for a run of it that goes on; none when it still
    /// goes on at `deadline`.
    pub async fn begin(
        &self,
        key: &RequestKey,
        digest: Digest,
        deadline: Instant,
    ) -> Option<BeginDecision> {
        loop {
            let ended = self.ended.notified();
            tokio::pin!(ended);
            // Registered before the look, so that no end is missed.
            ended.as_mut().enable();
            match self.table().begin(key, digest) {
                BeginDecision::Wait(_) => {}
                other => return Some(other),
            }
            timeout_at(deadline, ended).await.ok()?;
        }
    }

    /// Decides on the witness's answer.
    pub fn start(&self, id: EntryKey, answer: Option<&WitnessAnswer>) -> StartDecision {
        let start = self.table().start(id, answer);
        if matches!(start, StartDecision::NotRun(_)) {
            self.ended.notify_waiters();
        }
        start
    }

    /// Remembers that a request never runs; returns whether it may be called *not run*.
    pub fn refuse(&self, id: EntryKey, refusal: Refusal) -> bool {
        let proven = self.table().refuse(id, refusal);
        self.ended.notify_waiters();
        proven
    }

    /// Records how a run ended.
    pub fn finish(&self, id: EntryKey, finish: RunOutcome) {
        self.table().finish(id, finish);
        self.ended.notify_waiters();
    }

    /// Returns the table, for upkeep.
    pub fn table(&self) -> MutexGuard<'_, ExecutorTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
