//! Decisions of the request side: routing, admission, retries, outcomes and at most once.
//!
//! There are no sockets, locks or threads here. The daemon joins these decisions to the network;
//! each is given the time and, where it draws, a seeded generator. See docs/design/outcomes.md.

pub mod admission;
pub mod balance;
pub mod burn;
pub mod deadline;
pub mod drain;
pub mod limits;
pub mod once;
pub mod quarantine;
pub mod retry;
pub mod router;
pub mod silence;

mod call_head;
mod load_report;
mod refusal;
mod reply_head;
mod stream_open;
mod witness_message;

pub use call_head::CallHead;
pub use load_report::LoadReport;
pub use refusal::{Refusal, RefusalReason};
pub use reply_head::{ReplyBody, ReplyHead};
pub use stream_open::StreamOpen;
pub use witness_message::{WitnessAnswer, WitnessRequest};
