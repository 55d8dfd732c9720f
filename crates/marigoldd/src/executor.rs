//! The only way to the backend server beside the daemon.
//!
//! See docs/design/http.md and docs/design/at-most-once.md.

pub mod exchange;

mod backend_body;
mod backend_call;
mod backend_pool;
mod collect;
mod crash_watch;
mod hand_on;
mod in_flight;
mod keyed_run;
mod local_executor;
mod once;
mod peek;
mod prober;
mod reply;
mod slots;
mod stream_executor;
mod upkeep;
mod witnesses;

use marigold_types::Interval;

pub use backend_call::WHOLE_BYTES;
pub use collect::{Collected, collect};
pub use crash_watch::CrashWatch;
pub use in_flight::{Counted, InFlight};
pub use local_executor::LocalExecutor;
pub use reply::{Answer, AnswerBody, Ran, RequestBody};
pub use stream_executor::StreamExecutor;
pub use upkeep::upkeep;
pub use witnesses::Witnesses;

pub(crate) use backend_pool::prepare;

/// When a caller is asked to come back after a refusal that another daemon may not share.
pub(crate) const RETRY_DELAY: Interval = Interval::from_millis(250);

/// The step of a request during which the backend server crashed, which is not sent again.
pub(crate) const CRASH_STEP: &str = "backend server crashed";
