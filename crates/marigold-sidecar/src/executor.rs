//! Beside the backend server: everything that reaches it passes here.
//!
//! Slots, draining, identity and at most once are decided by one process, so they need no agreement.

mod backend_conn;
mod backend_pool;
mod exchange;
mod local_executor;
mod probe;
mod queue;

pub use backend_pool::BackendPool;
pub use exchange::{BackendRequest, ExchangeOutcome, exchange};
pub use local_executor::{ExecutorOptions, LocalExecutor};
pub use probe::probe;
