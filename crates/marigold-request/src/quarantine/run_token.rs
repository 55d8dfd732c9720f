//! One run of a request at a backend server.

use crate::quarantine::Fingerprint;

/// Tells a run from those of later lives of the backend server, so that its late end is not taken for
/// the end of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunToken {
    /// The request.
    pub fingerprint: Fingerprint,
    /// How often the backend server had crashed when the run began.
    pub(super) crashes: u32,
}
