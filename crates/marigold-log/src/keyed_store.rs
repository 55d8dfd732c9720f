//! The border to the platform's tables of newest records.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use marigold_types::LogOffset;

use crate::LogError;

/// Names a table of the platform's store.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct TableName(pub Arc<str>);

impl fmt::Display for TableName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

/// The newest record of a key; without a value the key was dropped.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedRecord {
    /// The key.
    pub key: Arc<str>,
    /// The value, none for a dropped key.
    pub value: Option<Bytes>,
}

/// Records of a table and the place behind them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct KeyedBatch {
    /// The records in order.
    pub records: Vec<KeyedRecord>,
    /// Where the next changes are read from.
    pub next: LogOffset,
}

/// Tables that keep the newest record of each key and tell of changes.
#[async_trait(?Send)]
pub trait KeyedStore {
    /// Reads the newest record of every key.
    ///
    /// # Errors
    ///
    /// When the store does not answer.
    async fn snapshot(&self, table: &TableName) -> Result<KeyedBatch, LogError>;

    /// Reads the changes from `from` on, and waits up to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// [`LogFailure::Trimmed`](crate::LogFailure::Trimmed) when changes in between are no longer kept,
    /// so that the table has to be read anew.
    async fn changes(
        &self,
        table: &TableName,
        from: LogOffset,
        wait: Duration,
    ) -> Result<KeyedBatch, LogError>;

    /// Reads the newest change if there is any from `from` on, and none of those before it.
    ///
    /// # Errors
    ///
    /// When the store does not answer, or the newest change is no longer kept.
    async fn latest_change(
        &self,
        table: &TableName,
        from: LogOffset,
    ) -> Result<KeyedBatch, LogError>;

    /// Writes a record; without a value it drops the key.
    ///
    /// # Errors
    ///
    /// When the store does not answer, after which the record may stand.
    async fn put(&self, table: &TableName, key: &str, value: Option<Bytes>)
    -> Result<(), LogError>;
}
