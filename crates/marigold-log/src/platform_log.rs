//! The interface to the platform's log.

use async_trait::async_trait;
use marigold_types::{LogOffset, RecordTime};
use tokio::time::Instant;

use crate::{LogError, StoredRecord, StreamName};

/// Position and time of an appended record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Appended {
    /// Offset of the record.
    pub offset: LogOffset,
    /// Time of the append by the log's clock.
    pub time: RecordTime,
}

/// Consecutive records of a stream, with the bounds of the stream.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Batch {
    /// The records in order and without gaps.
    pub records: Vec<StoredRecord>,
    /// Lowest offset that the log still stores.
    pub earliest: LogOffset,
    /// Offset of the next append.
    pub end: LogOffset,
}

/// The append-only log service of the platform.
#[async_trait]
pub trait PlatformLog: Send + Sync {
    /// Appends a record and returns its position.
    ///
    /// # Errors
    ///
    /// [`LogFailure::Unknown`](crate::LogFailure::Unknown) if the response is lost. The caller then
    /// has to read the stream to determine whether the record was written.
    async fn append(
        &self,
        stream: StreamName,
        data: String,
        deadline: Instant,
    ) -> Result<Appended, LogError>;

    /// Reads at most `limit` records, starting at `from`.
    ///
    /// # Errors
    ///
    /// [`LogFailure::Trimmed`](crate::LogFailure::Trimmed) if the record at `from` is no longer
    /// stored.
    async fn read(
        &self,
        stream: StreamName,
        from: LogOffset,
        limit: usize,
        deadline: Instant,
    ) -> Result<Batch, LogError>;
}
