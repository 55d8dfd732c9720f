//! The final answer to a caller.

use std::time::Duration;

use bytes::Bytes;

use crate::HeaderNames;
use crate::http1::{FieldBlock, Response};

/// How a request ends for its caller.
#[derive(Debug, Clone, PartialEq)]
pub enum RequestOutcome {
    /// The backend server's own answer.
    Answered(Response),
    /// The request has not run and never will.
    NotRun {
        /// Why, for the log and the body.
        reason: &'static str,
        /// When to come back.
        retry_after: Duration,
    },
    /// The request may have run; there is no answer.
    Unknown {
        /// Why, for the log and the body.
        reason: &'static str,
        /// Whether time ran out, rather than something broke.
        timed_out: bool,
    },
    /// The request is not one that is served.
    Invalid {
        /// The status.
        status: u16,
        /// Why, for the log and the body.
        reason: &'static str,
    },
}

impl RequestOutcome {
    /// Returns the outcome's name for logs and metrics.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::NotRun { .. } => "not_run",
            Self::Unknown { .. } => "unknown",
            Self::Invalid { .. } => "invalid",
        }
    }

    /// Returns why there is no answer.
    #[must_use]
    pub fn reason(&self) -> &'static str {
        match self {
            Self::Answered(_) => "",
            Self::NotRun { reason, .. }
            | Self::Unknown { reason, .. }
            | Self::Invalid { reason, .. } => reason,
        }
    }

    /// Returns the status that the caller gets.
    #[must_use]
    pub fn status(&self) -> u16 {
        match self {
            Self::Answered(response) => response.status,
            Self::NotRun { .. } => 503,
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

    /// Builds the answer to the request with `id`.
    #[must_use]
    pub fn into_response(self, names: &HeaderNames, id: Option<&str>) -> Response {
        let status = self.status();
        let reason = self.reason();
        let retry_after = match &self {
            Self::NotRun { retry_after, .. } => Some(*retry_after),
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
            body: Bytes::from_static(reason.as_bytes()),
        }
    }
}
