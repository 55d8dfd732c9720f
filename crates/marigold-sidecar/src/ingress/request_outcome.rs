//! The outcome of a request as its caller sees it.

use std::time::Duration;

use bytes::Bytes;

use crate::HeaderNames;
use crate::http1::{FieldBlock, Response};

/// Final outcome of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum RequestOutcome {
    /// The backend server responded; its response is passed on.
    Answered(Response),
    /// The request has not run and never will, so the caller can safely retry it.
    NotRun {
        /// Reason in logs and in the response body.
        reason: &'static str,
        /// Delay after which the caller should retry.
        retry_after: Duration,
    },
    /// The workspace of the caller is over its quota. The request has not run and never will.
    OverQuota {
        /// Delay after which the caller should retry.
        retry_after: Duration,
    },
    /// The request may have run, but there is no response.
    Unknown {
        /// Reason in logs and in the response body.
        reason: &'static str,
        /// Whether the deadline passed, rather than a connection or executor failing.
        timed_out: bool,
    },
    /// The request is invalid or matches no route.
    Invalid {
        /// HTTP status of the response.
        status: u16,
        /// Reason in logs and in the response body.
        reason: &'static str,
    },
}

impl RequestOutcome {
    /// Returns the label of the outcome in logs and metrics.
    #[must_use]
    pub fn label(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::NotRun { .. } | Self::OverQuota { .. } => "not_run",
            Self::Unknown { .. } => "unknown",
            Self::Invalid { .. } => "invalid",
        }
    }

    /// Returns the reason for an outcome other than a response, or an empty string.
    #[must_use]
    pub fn reason(&self) -> &'static str {
        match self {
            Self::Answered(_) => "",
            Self::OverQuota { .. } => "the workspace is over its quota",
            Self::NotRun { reason, .. }
            | Self::Unknown { reason, .. }
            | Self::Invalid { reason, .. } => reason,
        }
    }

    /// Returns the HTTP status sent to the caller.
    #[must_use]
    pub fn status(&self) -> u16 {
        match self {
            Self::Answered(response) => response.status,
            Self::NotRun { .. } => 503,
            Self::OverQuota { .. } => 429,
            Self::Unknown { timed_out, .. } => {
                if *timed_out {
                    504
                } else {
                    502
                }
            }
            Self::Invalid { status, .. } => *status,
        }
    }

    /// Builds the HTTP response to the request with `id`.
    #[must_use]
    pub fn into_response(self, names: &HeaderNames, id: Option<&str>) -> Response {
        let status = self.status();
        let reason = self.reason();
        let retry_after = match &self {
            Self::NotRun { retry_after, .. } | Self::OverQuota { retry_after } => {
                Some(*retry_after)
            }
            _ => None,
        };
        if let Self::Answered(response) = self {
            return response;
        }
        let mut fields = FieldBlock::default();
        if let Some(id) = id {
            fields.push(&names.request_id, id.as_bytes());
        }
        if let Some(delay) = retry_after {
            let seconds = format!("{:.3}", delay.as_secs_f64());
            fields.push(&names.retry_after, seconds.as_bytes());
        }
        Response {
            status,
            fields: fields.freeze(),
            body: Bytes::from_static(reason.as_bytes()).into(),
        }
    }
}
