//! Which requests run at a backend server, which wait, and which are refused. See
//! docs/design/admission.md.

mod admit;
mod gate;
mod pace;
mod service_time;
mod slot_pool;
mod solo;
mod waiting_line;

pub use admit::{
    AdmissionDecision, AdmissionRequest, Dropped, Granted, Permit, QueueUpdate, Ticket,
};
pub use gate::AdmissionController;
pub use service_time::ServiceTime;
