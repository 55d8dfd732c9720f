//! A stand-in for the platform log that can inject the failures of the real one.
//!
//! docs/PLATFORM-LOG.md describes the protocol.

mod args;
mod bucket;
mod control;
mod limits;
mod memory;
mod refusal;
mod server;
mod store;
mod stream;
mod totals;

pub use args::LogArgs;
pub use bucket::TokenBucket;
pub use control::{LogControl, TrimOrder};
pub use limits::LogLimits;
pub use memory::MemoryLog;
pub use refusal::LogRefusal;
pub use server::LogServer;
pub use store::LogStore;
pub use totals::LogTotals;
