//! The interface to the platform's keyed store.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use marigold_types::LogOffset;

use crate::{LogError, StorePosition};

/// The name of a table in the platform's store.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct TableName(pub Arc<str>);

impl fmt::Display for TableName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

/// A record of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedRecord {
    /// Its position among the changes of the table.
    pub offset: LogOffset,
    /// The key.
    pub key: Arc<str>,
    /// The value, or `None` if the key was deleted.
    pub value: Option<Bytes>,
}

/// Records of a table and the position at which to continue.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct KeyedBatch {
    /// The records in the order of the table.
    pub records: Vec<KeyedRecord>,
    /// Position from which to read the following changes.
    pub next: StorePosition,
}

/// A store with tables that keep the latest record of each key and the recent changes.
#[async_trait(?Send)]
pub trait KeyedStore {
    /// Reads the latest record of every key.
    ///
    /// # Errors
    ///
    /// If the store does not respond.
    async fn snapshot(&self, table: &TableName) -> Result<KeyedBatch, LogError>;

    /// Reads the changes starting at `from`, waiting up to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// [`LogFailure::Trimmed`](crate::LogFailure::Trimmed) if some of the changes are no longer stored, or
    /// [`LogFailure::Replaced`](crate::LogFailure::Replaced) if the store has another history than `from`, in which cases the
    /// caller takes a new [`snapshot`](Self::snapshot).
    async fn changes(
        &self,
        table: &TableName,
        from: StorePosition,
        wait: Duration,
    ) -> Result<KeyedBatch, LogError>;

    /// Reads the latest record of each key that has changed at or after `from`, without the changes in between.
    ///
    /// # Errors
    ///
    /// As [`changes`](Self::changes).
    async fn latest_change(
        &self,
        table: &TableName,
        from: StorePosition,
    ) -> Result<KeyedBatch, LogError>;

    /// Writes a record; `None` deletes the key.
    ///
    /// # Errors
    ///
    /// If the store does not respond, in which case the record may have been written.
    async fn put(&self, table: &TableName, key: &str, value: Option<Bytes>)
    -> Result<(), LogError>;

    /// Writes a record if the table has no changes at or after `end`; returns whether it was written.
    ///
    /// # Errors
    ///
    /// If the store does not respond, in which case the record may have been written, or may be later, or has another
    /// history than `end`.
    async fn put_if(
        &self,
        table: &TableName,
        key: &str,
        value: Bytes,
        end: StorePosition,
    ) -> Result<bool, LogError>;
}
