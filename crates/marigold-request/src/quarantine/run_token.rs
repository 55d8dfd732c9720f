//! Tokens for requests that a backend server is running.

use crate::quarantine::{EventNumber, Fingerprint};

/// Identifies the run of a request, including the backend server process that runs it.
///
/// The end of a run may be reported after a crash and must not end a run in the restarted process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunToken {
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Whether the request runs exclusively.
    pub(super) exclusive: bool,
    /// The number of crashes of the backend server before the run started.
    pub(super) crashes: u32,
    pub(super) started: EventNumber,
}
