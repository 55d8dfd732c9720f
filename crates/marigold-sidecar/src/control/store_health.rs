//! Whether the store answers, and how long to wait when it does not.

use std::rc::Rc;
use std::time::Duration;

use marigold_log::LogError;
use tokio::time::{Instant, sleep};

use crate::events::{EventLog, Severity};

/// The wait after a failed call, at first and at most; what was missed must be back within two seconds
/// of the store's return.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_millis(900);

/// Follows the calls to one table of the store.
pub struct StoreHealth {
    table: &'static str,
    events: Rc<EventLog>,
    lost: Option<Instant>,
    backoff: Duration,
}

impl StoreHealth {
    /// Builds the state of a table that has not been read yet.
    pub fn new(table: &'static str, events: Rc<EventLog>) -> Self {
        Self {
            table,
            events,
            lost: None,
            backoff: MIN_BACKOFF,
        }
    }

    /// Returns the table's name in log lines.
    pub fn table(&self) -> &'static str {
        self.table
    }

    /// Notes that the store has answered.
    pub fn succeeded(&mut self) {
        count("ok");
        self.backoff = MIN_BACKOFF;
        if let Some(since) = self.lost.take() {
            let lost_ms = u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX);
            self.events.emit(
                "store_regained",
                Severity::Info,
                &[("table", self.table.into()), ("lost_ms", lost_ms.into())],
            );
        }
    }

    /// Notes that the store has not answered, and waits before the next call.
    pub async fn failed(&mut self, error: &LogError) {
        count("failed");
        if self.lost.is_none() {
            self.lost = Some(Instant::now());
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

fn count(result: &'static str) {
    metrics::counter!("marigold_store_calls_total", "result" => result).increment(1);
}
