//! Reads the records of daemons from the store.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use marigold_dispatch::Site;
use marigold_log::{KeyedRecord, KeyedStore, LogError, StorePosition, TableName};

use super::store_history::StoreHistory;
use crate::events::{EventLog, Severity};
use crate::link::SiteRecord;

/// The result of a read.
pub struct SiteBatch {
    /// The records, without those that cannot be decoded.
    pub records: Vec<SiteRecord>,
    /// Whether the whole table was read, rather than changes.
    pub is_whole: bool,
}

/// Reader of the table in which daemons publish their records.
pub struct SiteTable {
    store: Rc<dyn KeyedStore>,
    table: TableName,
    events: Rc<EventLog>,
    /// Position of the next change, or `None` to read the whole table.
    position: Cell<Option<StorePosition>>,
    history: Cell<Option<StoreHistory>>,
}

impl SiteTable {
    /// Creates a reader whose first read returns the whole table.
    pub fn new(store: Rc<dyn KeyedStore>, table: TableName, events: Rc<EventLog>) -> Self {
        Self {
            store,
            table,
            events,
            position: Cell::new(None),
            history: Cell::new(None),
        }
    }

    /// Returns the history of the store that was read last, or `None` before the first read.
    pub fn history(&self) -> Option<StoreHistory> {
        self.history.get()
    }

    /// Makes the next read return the whole table again.
    pub fn restart(&self) {
        self.position.set(None);
    }

    /// Returns the records that changed since the last read, waiting up to `wait` for the first change.
    ///
    /// # Errors
    ///
    /// If the store does not respond, or no longer has all changes since the last read.
    pub async fn read(&self, wait: Duration) -> Result<SiteBatch, LogError> {
        let position = self.position.get();
        let batch = match position {
            None => self.store.snapshot(&self.table).await?,
            Some(from) => self.store.changes(&self.table, from, wait).await?,
        };
        self.position.set(Some(batch.next));
        self.history.set(Some(StoreHistory(batch.next.era)));
        let records = batch.records.iter();
        Ok(SiteBatch {
            records: records.filter_map(|record| self.decode(record)).collect(),
            is_whole: position.is_none(),
        })
    }

    /// Writes the record of a daemon, unless the table has changed since the last read; returns whether it was written.
    ///
    /// # Errors
    ///
    /// If the store does not respond, in which case the record may have been written.
    pub async fn restore(&self, site: &Site) -> Result<bool, LogError> {
        let Some(end) = self.position.get() else {
            return Ok(false);
        };
        let Ok(value) = serde_json::to_vec(site) else {
            return Ok(false);
        };
        let key = site.address.to_string();
        let write = self.store.put_if(&self.table, &key, value.into(), end);
        let is_written = write.await?;
        if is_written {
            self.position.set(Some(end.next()));
        }
        Ok(is_written)
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
