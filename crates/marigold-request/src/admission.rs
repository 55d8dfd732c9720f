//! Admission control at a backend server: which requests run, wait or are refused. See
//! docs/design/admission.md.

mod controller;
mod decision;
mod dequeue_interval;
mod exclusive_queue;
mod service_time;
mod slot_pool;
mod wait_queue;

pub use controller::AdmissionController;
pub use decision::{
    AdmissionDecision, AdmissionRequest, Dropped, Granted, Permit, QueueUpdate, Ticket,
};
pub use service_time::ServiceTime;
