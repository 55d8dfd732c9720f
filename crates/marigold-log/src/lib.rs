//! Interfaces to the platform's append-only log and keyed store.
//!
//! The daemon uses [`HttpLog`], and tests use fake implementations of [`PlatformLog`]. The HTTP API
//! is specified in docs/PLATFORM-LOG.md.

mod error;
mod http_log;
mod keyed_store;
mod platform_log;
mod record;
mod store_position;
mod stream_name;

pub use error::{LogError, LogFailure};
pub use http_log::HttpLog;
pub use keyed_store::{KeyedBatch, KeyedRecord, KeyedStore, TableName};
pub use platform_log::{Appended, Batch, PlatformLog};
pub use record::StoredRecord;
pub use store_position::{StoreEra, StorePosition};
pub use stream_name::StreamName;
