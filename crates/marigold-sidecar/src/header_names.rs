//! The header fields that callers, backend servers and this daemon understand.

use std::sync::Arc;

/// The spelling of each header field that has a meaning of its own.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeaderNames {
    /// Names a request; an answer repeats it.
    pub request_id: Arc<str>,
    /// How many milliseconds the sender waits.
    pub deadline: Arc<str>,
    /// Marks an answer that the backend server made by running the request.
    pub signature: Arc<str>,
    /// The identity that the backend server must have to run the request.
    pub expected_identity: Arc<str>,
    /// Marks an answer to a request that was not run.
    pub not_run: Arc<str>,
    /// When to come back, in seconds.
    pub retry_after: Arc<str>,
    /// The service on whose instance the request began.
    pub origin: Arc<str>,
    /// The identity of the backend server that answers.
    pub identity: Arc<str>,
}

impl HeaderNames {
    /// Returns whether the daemon sets this field itself and passes on no other's.
    #[must_use]
    pub fn is_daemon_owned(&self, name: &str) -> bool {
        [&self.deadline, &self.expected_identity, &self.origin]
            .iter()
            .any(|own| own.eq_ignore_ascii_case(name))
    }
}
