//! Decisions of the request side: routing, admission, retries, outcomes and at most once.
//!
//! There are no sockets here. The daemon joins these decisions to the network; see
//! docs/design/requests.md.

mod body_frame;
mod call_head;
mod load_report;
mod refusal;
mod reply_head;
mod stream_open;
mod witness_message;

pub use body_frame::BodyFrame;
pub use call_head::CallHead;
pub use load_report::LoadReport;
pub use refusal::{Refusal, RefusalReason};
pub use reply_head::{ReplyBody, ReplyHead};
pub use stream_open::StreamOpen;
pub use witness_message::{WitnessAnswer, WitnessRequest};
