//! Quarantine of requests that crash backend servers. See docs/design/crashing-requests.md.

mod crash_record;
mod event_number;
mod fingerprint;
mod in_flight;
mod policy;
mod run_token;
mod table;
mod trial_hold;

pub use crash_record::{CrashId, CrashRecord};
pub use event_number::EventNumber;
pub use fingerprint::Fingerprint;
pub use policy::QuarantinePolicy;
pub use run_token::RunToken;
pub use table::{Quarantine, QuarantineStatus};
pub use trial_hold::TrialHold;
