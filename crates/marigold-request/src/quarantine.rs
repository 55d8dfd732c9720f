//! Requests that crash the backend servers that run them. See docs/design/crashing-requests.md.

mod fingerprint;
mod guard;
mod run;
mod sentence;

pub use fingerprint::Fingerprint;
pub use guard::{Quarantine, Standing};
pub use run::Run;
pub use sentence::{Crash, Sentence};
