//! Names of header fields that callers, backend servers and daemons interpret.

use std::sync::Arc;

/// The platform's name of each header field with a special meaning.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeaderNames {
    /// Request id, repeated in the response.
    pub request_id: Arc<str>,
    /// How long the sender still waits for the response, in milliseconds.
    pub deadline: Arc<str>,
    /// Signature that the backend server adds to the response of a request that it has run.
    pub signature: Arc<str>,
    /// Identity of the backend server that the request is meant for; any other one must not run it.
    pub expected_identity: Arc<str>,
    /// Marks the response to a request that was not run.
    pub not_run: Arc<str>,
    /// Delay after which to retry, in seconds.
    pub retry_after: Arc<str>,
    /// Requests per second that the backend server takes from all daemons together.
    pub request_limit: Arc<str>,
    /// `1` if the backend server is shutting down.
    pub leaving: Arc<str>,
    /// Service of the instance at which the request entered the mesh.
    pub origin: Arc<str>,
    /// Identity of the backend server that sent the response.
    pub identity: Arc<str>,
    /// Key of the caller, if the configuration has workspaces. It is never forwarded.
    pub key: Arc<str>,
    /// Workspace of the caller, which the daemon sets if the configuration has workspaces.
    pub workspace: Arc<str>,
}

impl HeaderNames {
    /// Returns whether the daemon sets this field itself and drops it from incoming requests.
    #[must_use]
    pub fn is_daemon_owned(&self, name: &str) -> bool {
        [&self.deadline, &self.expected_identity, &self.origin]
            .iter()
            .any(|field| field.eq_ignore_ascii_case(name))
    }
}
