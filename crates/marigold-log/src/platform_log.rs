//! The border to the platform's log.

use async_trait::async_trait;
use marigold_types::{LogOffset, RecordTime};
use tokio::time::Instant;

use crate::{LogError, StoredRecord, StreamName};

/// Where and when the log took an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Appended {
    /// The record's position.
    pub offset: LogOffset,
    /// The record's time by the log's clock.
    pub time: RecordTime,
}

/// Some records in order, and how much more there is.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Batch {
    /// The records, without gaps.
    pub records: Vec<StoredRecord>,
    /// The first offset that the log still has.
    pub earliest: LogOffset,
    /// The offset that the next append will get.
    pub end: LogOffset,
}

/// The append-only log service that the platform gives.
#[async_trait]
pub trait PlatformLog: Send + Sync {
    /// Appends one record and returns where it stands.
    ///
    /// # Errors
    ///
    /// [`LogFailure::Unknown`](crate::LogFailure::Unknown) when the answer is lost: the caller
    /// reads to learn whether the record stands.
    async fn append(
        &self,
        stream: StreamName,
        data: String,
        deadline: Instant,
    ) -> Result<Appended, LogError>;

    /// Reads at most `limit` records from `from` on.
    ///
    /// # Errors
    ///
    /// [`LogFailure::Trimmed`](crate::LogFailure::Trimmed) when `from` is no longer kept.
    async fn read(
        &self,
        stream: StreamName,
        from: LogOffset,
        limit: usize,
        deadline: Instant,
    ) -> Result<Batch, LogError>;
}
