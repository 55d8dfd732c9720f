//! Baseline for the control plane: every reader polls the log, and each change is a full state.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use marigold_log::{PlatformLog, StreamName};
use marigold_types::LogOffset;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::StandinError;
use crate::log::{LogLimits, MemoryLog};

const READ_LIMIT: usize = 100;
const LOG_TIMEOUT: Duration = Duration::from_secs(5);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(30);

/// Convergence times and cost of the baseline.
#[derive(Debug, Clone, Default)]
pub struct BaselineResult {
    /// Time until half of the readers had a change, averaged over the changes.
    pub p50: Duration,
    /// Time until the last reader had a change, the maximum over the changes.
    pub last: Duration,
    /// Record bytes read per change and reader.
    pub change_bytes: f64,
    /// Reads of the log per second, by all readers.
    pub reads: f64,
}

/// Readers that each poll the whole log.
pub struct PollingBaseline {
    log: MemoryLog,
    next_offsets: Vec<Arc<AtomicU64>>,
    tasks: JoinSet<()>,
}

impl PollingBaseline {
    /// Starts `count` readers, each polling at the interval `poll` from a random phase.
    #[must_use]
    pub fn start(count: usize, poll: Duration) -> Self {
        let log = MemoryLog::new(LogLimits::default());
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let mut tasks = JoinSet::new();
        let mut next_offsets = Vec::new();
        for _ in 0..count {
            let next_offset = Arc::new(AtomicU64::new(0));
            next_offsets.push(next_offset.clone());
            let phase = poll.mul_f64(rng.random_range(0.0..1.0));
            tasks.spawn(tail(log.clone(), next_offset, poll, phase));
        }
        Self {
            log,
            next_offsets,
            tasks,
        }
    }

    /// Appends `changes` changes, each a full `state`, and waits until every reader has each.
    ///
    /// # Errors
    ///
    /// Returns an error if the log refuses an append or a reader does not receive it within 30 s.
    pub async fn run(mut self, state: &str, changes: u32) -> Result<BaselineResult, StandinError> {
        let before = self.log.totals();
        let started = Instant::now();
        let mut result = BaselineResult::default();
        for _ in 0..changes {
            let times = self.change(state).await?;
            result.p50 += times[times.len() / 2] / changes;
            result.last = result.last.max(times[times.len() - 1]);
        }
        let after = self.log.totals();
        #[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
        let readers = self.next_offsets.len() as f64;
        #[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
        let (bytes, reads) = (
            (after.bytes_out - before.bytes_out) as f64,
            (after.reads - before.reads) as f64,
        );
        result.change_bytes = bytes / readers / f64::from(changes);
        result.reads = reads / started.elapsed().as_secs_f64();
        self.tasks.shutdown().await;
        Ok(result)
    }

    async fn change(&self, state: &str) -> Result<Vec<Duration>, StandinError> {
        let start = Instant::now();
        let appended = self
            .log
            .append(StreamName::Config, state.to_owned(), start + LOG_TIMEOUT)
            .await
            .map_err(|error| StandinError::new("append", &"baseline", &error))?;
        let wanted = appended.offset.next().0;
        let mut times = vec![None; self.next_offsets.len()];
        while times.iter().any(Option::is_none) {
            if start.elapsed() > CONVERGENCE_TIMEOUT {
                return Err(StandinError::new("converge", &"baseline", &"not in 30 s"));
            }
            for (time, next_offset) in times.iter_mut().zip(&self.next_offsets) {
                if time.is_none() && next_offset.load(Ordering::Relaxed) >= wanted {
                    *time = Some(start.elapsed());
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let mut times: Vec<Duration> = times.into_iter().flatten().collect();
        times.sort_unstable();
        Ok(times)
    }
}

async fn tail(log: MemoryLog, next_offset: Arc<AtomicU64>, poll: Duration, phase: Duration) {
    tokio::time::sleep(phase).await;
    loop {
        let from = LogOffset(next_offset.load(Ordering::Relaxed));
        let until = Instant::now() + LOG_TIMEOUT;
        if let Ok(batch) = log.read(StreamName::Config, from, READ_LIMIT, until).await {
            // The cost of reading a state includes parsing it.
            let all_valid = batch
                .records
                .iter()
                .all(|record| serde_json::from_str::<serde_json::Value>(&record.data).is_ok());
            if all_valid {
                next_offset.store(from.0 + batch.records.len() as u64, Ordering::Relaxed);
            }
        }
        tokio::time::sleep(poll).await;
    }
}
