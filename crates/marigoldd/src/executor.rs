//! Runs requests on the local backend server, which is reached in no other way.
//!
//! See docs/design/http.md and docs/design/at-most-once.md.

pub mod exchange;

mod backend_body;
mod backend_call;
mod backend_pool;
mod collect;
mod crash_tracker;
mod forward;
mod in_flight;
mod key_table;
mod keyed_run;
mod local_executor;
mod maintenance;
mod peek;
mod prober;
mod reply;
mod slots;
mod stream_executor;
mod witnesses;

use marigold_types::Interval;

pub use backend_call::MAX_BUFFERED_ANSWER_BYTES;
pub use collect::{Collected, collect_up_to};
pub use crash_tracker::CrashTracker;
pub use in_flight::{InFlight, InFlightGuard};
pub use local_executor::LocalExecutor;
pub use maintenance::run_maintenance;
pub use reply::{Answer, AnswerBody, RequestBody, RunResult};
pub use stream_executor::StreamExecutor;
pub use witnesses::Witnesses;

pub(crate) use backend_pool::configure_socket;

/// The retry delay of a refusal that may not apply at another daemon.
pub(crate) const RETRY_DELAY: Interval = Interval::from_millis(250);

/// The step of an unknown outcome whose request crashed the backend server; it is not retried.
pub(crate) const CRASH_STEP: &str = "backend server crashed";
