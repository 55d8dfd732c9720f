//! Runs calls on the local backend server. All requests to it pass through here.
//!
//! One process decides on slots, draining, identity and at-most-once execution, so no consensus is needed.

mod backend_conn;
mod backend_monitor;
mod backend_pool;
mod call_progress;
mod crash_check;
mod exchange;
mod executor_options;
mod health_probes;
mod limit_watch;
mod local_executor;
mod probe;
mod run_evidence;
mod silence_watch;
mod slot_queue;

pub use backend_pool::BackendPool;
pub use exchange::{
    BackendRequest, BackendStatement, ExchangeError, ExchangeOutcome, ExchangeResult, exchange,
};
pub use executor_options::{ExecutorOptions, HealthPathSource, VersionListener};
pub use local_executor::LocalExecutor;
pub use probe::{ProbeResponse, probe};
