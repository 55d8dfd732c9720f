//! Availability of the store, and backoff while it is unavailable.

use std::rc::Rc;
use std::time::Duration;

use marigold_log::{LogError, StoreEra};
use tokio::time::{Instant, sleep};

use crate::events::{EventLog, Severity};

const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Kept short, since missed changes must be read within two seconds of the store's recovery.
const MAX_BACKOFF: Duration = Duration::from_millis(900);

/// Tracks the results of requests for one table of the store.
pub struct StoreHealth {
    table: &'static str,
    events: Rc<EventLog>,
    /// When requests began to fail, if the last one failed.
    failing_since: Option<Instant>,
    backoff: Duration,
}

impl StoreHealth {
    /// Creates the state of a table that has not been read yet; `table` names it in log events.
    pub fn new(table: &'static str, events: Rc<EventLog>) -> Self {
        Self {
            table,
            events,
            failing_since: None,
            backoff: MIN_BACKOFF,
        }
    }

    /// Returns the table's name in log events.
    pub fn table(&self) -> &'static str {
        self.table
    }

    /// Records a successful request.
    pub fn record_success(&mut self) {
        count_request("ok");
        self.backoff = MIN_BACKOFF;
        if let Some(since) = self.failing_since.take() {
            let lost_ms = u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX);
            self.events.emit(
                "store_regained",
                Severity::Info,
                &[("table", self.table.into()), ("lost_ms", lost_ms.into())],
            );
        }
    }

    /// Records that the store has come back from an older copy.
    pub fn record_replacement(&self, era: StoreEra) {
        let fields = [("table", self.table.into()), ("era", era.0.into())];
        self.events.emit("store_replaced", Severity::Warn, &fields);
        metrics::counter!("marigold_store_replacements_total", "table" => self.table).increment(1);
    }

    /// Records a failed request and sleeps for the backoff time.
    pub async fn record_failure(&mut self, error: &LogError) {
        count_request("failed");
        if self.failing_since.is_none() {
            self.failing_since = Some(Instant::now());
            self.events.emit(
                "store_lost",
                Severity::Warn,
                &[
                    ("table", self.table.into()),
                    ("cause", error.to_string().into()),
                ],
            );
        }
        let jitter = 0.5 + rand::random::<f64>();
        sleep(self.backoff.mul_f64(jitter)).await;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }
}

fn count_request(result: &'static str) {
    metrics::counter!("marigold_store_calls_total", "result" => result).increment(1);
}
