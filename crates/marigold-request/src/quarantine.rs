//! Quarantine of requests that crash backend servers. See docs/design/crashing-requests.md.

mod crash_record;
mod fingerprint;
mod guard;
mod run_token;

pub use crash_record::{CrashId, CrashRecord};
pub use fingerprint::Fingerprint;
pub use guard::{Quarantine, QuarantineStatus};
pub use run_token::RunToken;
