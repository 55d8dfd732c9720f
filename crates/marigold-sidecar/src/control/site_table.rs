//! Reads the records of daemons from the store.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use marigold_dispatch::Site;
use marigold_log::{KeyedRecord, KeyedStore, LogError, TableName};
use marigold_types::LogOffset;

use crate::events::{EventLog, Severity};
use crate::link::SiteRecord;

/// Reader of the table in which daemons publish their records.
pub struct SiteTable {
    store: Rc<dyn KeyedStore>,
    table: TableName,
    events: Rc<EventLog>,
    /// Offset of the next change, or `None` to read the whole table.
    next_offset: Cell<Option<LogOffset>>,
}

impl SiteTable {
    /// Creates a reader whose first read returns the whole table.
    pub fn new(store: Rc<dyn KeyedStore>, table: TableName, events: Rc<EventLog>) -> Self {
        Self {
            store,
            table,
            events,
            next_offset: Cell::new(None),
        }
    }

    /// Makes the next read return the whole table again.
    pub fn restart(&self) {
        self.next_offset.set(None);
    }

    /// Returns the records that changed since the last read, waiting up to `wait` for the first change.
    ///
    /// # Errors
    ///
    /// If the store does not respond, or no longer has all changes since the last read.
    pub async fn read(&self, wait: Duration) -> Result<Vec<SiteRecord>, LogError> {
        let batch = match self.next_offset.get() {
            None => self.store.snapshot(&self.table).await?,
            Some(from) => self.store.changes(&self.table, from, wait).await?,
        };
        self.next_offset.set(Some(batch.next));
        let records = batch.records.iter();
        Ok(records.filter_map(|record| self.decode(record)).collect())
    }

    /// Decodes a record. Invalid records are logged and skipped.
    fn decode(&self, record: &KeyedRecord) -> Option<SiteRecord> {
        let Ok(address) = record.key.parse::<SocketAddr>() else {
            self.log_skipped(record, "the key is not a socket address");
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
                self.log_skipped(record, "the key differs from the address in the record");
                None
            }
            Err(error) => {
                self.log_skipped(record, &error.to_string());
                None
            }
        }
    }

    fn log_skipped(&self, record: &KeyedRecord, problem: &str) {
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
