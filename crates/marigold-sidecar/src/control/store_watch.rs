//! Follows one table of the store through its outages.

use std::rc::Rc;
use std::time::Duration;

use marigold_log::{KeyedBatch, KeyedStore, LogError, LogFailure, TableName};
use marigold_types::LogOffset;
use tokio::time::{Instant, sleep};

use crate::events::{EventLog, Severity};

/// How long one read waits for a change. A silent connection is found by probes of the system, so this
/// only bounds how often an idle table is asked for.
const WAIT: Duration = Duration::from_secs(15);
/// The wait after a failed read, at first and at most: entries must be back within two seconds of the
/// store's return.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// What a watch has read.
#[derive(Debug)]
pub enum News {
    /// The whole table.
    Whole(KeyedBatch),
    /// Changes since the last news.
    Changes(KeyedBatch),
}

/// Reads a table as a whole, then its changes, and starts anew whenever some were missed.
pub struct StoreWatch {
    store: Rc<dyn KeyedStore>,
    table: TableName,
    events: Rc<EventLog>,
    next: Option<LogOffset>,
    backoff: Duration,
    lost: Option<Instant>,
}

impl StoreWatch {
    /// Builds the watch of `table`.
    #[must_use]
    pub fn new(store: Rc<dyn KeyedStore>, table: TableName, events: Rc<EventLog>) -> Self {
        Self {
            store,
            table,
            events,
            next: None,
            backoff: MIN_BACKOFF,
            lost: None,
        }
    }

    /// Makes the next news the whole table.
    pub fn restart(&mut self) {
        self.next = None;
    }

    /// Waits for news, however long the store is away.
    pub async fn news(&mut self) -> News {
        loop {
            let result = match self.next {
                None => self.store.newest(&self.table).await.map(News::Whole),
                Some(from) => {
                    let changes = self.store.changes(&self.table, from, WAIT).await;
                    changes.map(News::Changes)
                }
            };
            match result {
                Ok(news) => {
                    self.regained();
                    let (News::Whole(batch) | News::Changes(batch)) = &news;
                    self.next = Some(batch.next);
                    if matches!(&news, News::Changes(batch) if batch.records.is_empty()) {
                        continue;
                    }
                    return news;
                }
                Err(error) => self.failed(&error).await,
            }
        }
    }

    async fn failed(&mut self, error: &LogError) {
        if matches!(error.failure, LogFailure::Trimmed { .. }) {
            self.next = None;
            return;
        }
        if self.lost.is_none() {
            self.lost = Some(Instant::now());
            self.events.emit(
                "store_lost",
                Severity::Warn,
                &[
                    ("table", self.table.to_string().into()),
                    ("cause", error.to_string().into()),
                ],
            );
        }
        let jitter = 0.5 + rand::random::<f64>();
        sleep(self.backoff.mul_f64(jitter)).await;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }

    fn regained(&mut self) {
        self.backoff = MIN_BACKOFF;
        if let Some(since) = self.lost.take() {
            let lost_ms = u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX);
            self.events.emit(
                "store_regained",
                Severity::Info,
                &[
                    ("table", self.table.to_string().into()),
                    ("lost_ms", lost_ms.into()),
                ],
            );
        }
    }
}
