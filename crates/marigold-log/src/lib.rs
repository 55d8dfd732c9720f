//! The platform's append-only log, as the mesh sees it.
//!
//! The trait is the border: the daemon uses [`HttpLog`], tests use small fakes. The HTTP form is
//! written down in docs/PLATFORM-LOG.md.

mod error;
mod http_log;
mod keyed_store;
mod platform_log;
mod record;
mod stream_name;

pub use error::{LogError, LogFailure};
pub use http_log::HttpLog;
pub use keyed_store::{KeyedBatch, KeyedRecord, KeyedStore, TableName};
pub use platform_log::{Appended, Batch, PlatformLog};
pub use record::StoredRecord;
pub use stream_name::StreamName;
