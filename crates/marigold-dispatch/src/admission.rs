//! Which requests run at a backend server, which wait and which are refused. See docs/design/platform.md and
//! docs/design/precedence.md.

mod admission_controller;
mod admission_decision;
mod demand;
mod kind_stats;
mod queue_key;
mod queue_order;
mod request_limit;
mod request_pacer;
mod return_schedule;
mod run_time;
mod running_set;
mod slot_request;
mod ticket;
mod wait_queue;
mod waiting_request;
mod workspace_share;
mod workspace_shares;

pub use admission_controller::AdmissionController;
pub use admission_decision::AdmissionDecision;
pub use request_limit::RequestLimit;
pub use request_pacer::RequestPacer;
pub use run_time::RunTime;
pub use running_set::Permit;
pub use slot_request::SlotRequest;
pub use ticket::Ticket;
