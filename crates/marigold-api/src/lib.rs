//! Messages of the daemon's admin API, which are JSON over HTTP.
//!
//! docs/COMMANDS.md describes how the command line tool uses them.

mod announce_answer;
mod config_document;
mod confirm_answer;
mod daemon_status;
mod drain_request;
mod history_document;
mod plan_view;
mod problem;
mod status;

pub use announce_answer::AnnounceAnswer;
pub use config_document::ConfigDocument;
pub use confirm_answer::ConfirmAnswer;
pub use daemon_status::{DaemonState, DaemonStatus, MessageKindBytes};
pub use drain_request::DrainRequest;
pub use history_document::HistoryDocument;
pub use plan_view::{PlanState, PlanStored, PlanView};
pub use problem::{Problem, ProblemKind};
pub use status::Status;
