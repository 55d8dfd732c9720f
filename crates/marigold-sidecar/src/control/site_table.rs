//! Reads the table in which daemons find each other.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use marigold_dispatch::Site;
use marigold_log::{KeyedRecord, KeyedStore, LogError, TableName};
use marigold_types::LogOffset;

use crate::events::{EventLog, Severity};
use crate::link::SiteRecord;

/// The records of daemons as the store has them.
pub struct SiteTable {
    store: Rc<dyn KeyedStore>,
    table: TableName,
    events: Rc<EventLog>,
    next: Cell<Option<LogOffset>>,
}

impl SiteTable {
    /// Builds a reader that begins with the whole table.
    pub fn new(store: Rc<dyn KeyedStore>, table: TableName, events: Rc<EventLog>) -> Self {
        Self {
            store,
            table,
            events,
            next: Cell::new(None),
        }
    }

    /// Begins with the whole table again.
    pub fn restart(&self) {
        self.next.set(None);
    }

    /// Reads what is new, and waits up to `wait` for the first change.
    ///
    /// # Errors
    ///
    /// When the store does not answer, or changes in between are no longer kept.
    pub async fn read(&self, wait: Duration) -> Result<Vec<SiteRecord>, LogError> {
        let batch = match self.next.get() {
            None => self.store.newest(&self.table).await?,
            Some(from) => self.store.changes(&self.table, from, wait).await?,
        };
        self.next.set(Some(batch.next));
        let records = batch.records.iter();
        Ok(records.filter_map(|record| self.decode(record)).collect())
    }

    /// Decodes a record; one that is not ours names no daemon.
    fn decode(&self, record: &KeyedRecord) -> Option<SiteRecord> {
        let Ok(address) = record.key.parse::<SocketAddr>() else {
            self.pass_over(record, "the key is no address");
            return None;
        };
        let Some(value) = &record.value else {
            let site = None;
            return Some(SiteRecord { address, site });
        };
        match serde_json::from_slice::<Site>(value) {
            Ok(site) if site.address == address => Some(SiteRecord {
                address,
                site: Some(site),
            }),
            Ok(_) => {
                self.pass_over(record, "key and address differ");
                None
            }
            Err(error) => {
                self.pass_over(record, &error.to_string());
                None
            }
        }
    }

    fn pass_over(&self, record: &KeyedRecord, problem: &str) {
        self.events.emit(
            "daemon_record_passed_over",
            Severity::Warn,
            &[
                ("key", record.key.as_ref().into()),
                ("cause", problem.into()),
            ],
        );
    }
}
