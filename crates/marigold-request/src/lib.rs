//! Request handling logic: routing, admission, rate limits, retries, outcomes and at-most-once
//! execution.
//!
//! The types `AdmissionController`, `AdmissionDecision`, `Permit`, `Ticket` and `RetryBudget` are those
//! of marigoldd. marigold-dispatch has separate types of the same names, which the sidecar uses.
//! `RefusalReason`, `Ejection` and `HealthSignal` are shared by both.
//!
//! This crate has no sockets, locks or threads; the daemon connects it to the network. The current
//! time, and a seeded random generator where one is needed, are passed in. See
//! docs/design/outcomes.md.

pub mod admission;
pub mod at_most_once;
pub mod balance;
pub mod burn;
pub mod deadline;
pub mod drain;
pub mod limits;
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
