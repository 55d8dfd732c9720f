//! An open-loop load generator that accounts for every call.
//!
//! Calls are scheduled at a fixed rate, independently of how earlier calls end. Each latency is measured
//! from the time at which its call was due, so that a stall shows in every call it delays (this avoids the
//! coordinated omission described by Gil Tene). See docs/BACKEND-SERVER.md for how the runs are counted.

mod args;
mod audit;
mod caller;
mod completion;
mod key_cache;
mod ledger;
mod pacer;
mod plan;
mod report;
mod result;
mod route;
mod run;
mod summary;
mod tally;

pub use args::LoadArgs;
pub use audit::Audit;
pub use caller::Caller;
pub use completion::CallCompletion;
pub use key_cache::KeyCache;
pub use ledger::{Ledger, LedgerEntry};
pub use plan::LoadPlan;
pub use report::{LoadReport, RouteReport};
pub use result::{CallEnd, CallResult};
pub use route::LoadRoute;
pub use run::LoadRun;
pub use summary::Summary;
pub use tally::Tally;
