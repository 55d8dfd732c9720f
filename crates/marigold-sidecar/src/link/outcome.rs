//! Outcomes of calls.

use std::time::Duration;

use bytes::Bytes;
use marigold_dispatch::AttemptOutcome;
use marigold_request::RefusalReason;
use serde::{Deserialize, Serialize};

/// Outcome of a call as reported by the executor.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallOutcome {
    /// The backend server ran the request and responded.
    Answered {
        /// HTTP status of the response.
        status: u16,
        /// Encoded header fields of the response.
        fields: Bytes,
    },
    /// The executor refused the call: it was not sent to the backend server and never will be.
    Refused {
        /// Reason for the refusal.
        reason: RefusalReason,
        /// Delay after which a retry is likely to be accepted.
        retry_after: Duration,
    },
    /// The backend server received the request and reported that it did not run it.
    Rejected {
        /// HTTP status of the response.
        status: u16,
    },
    /// The request was sent to the backend server and may have run, but there is no valid response.
    Lost {
        /// Whether the exchange failed, rather than timed out or was cancelled.
        broken: bool,
    },
}

impl CallOutcome {
    /// Returns what the outcome says about the health of the executor. A 504 response means that the deadline
    /// has passed and does not count as a failure.
    #[must_use]
    pub fn attempt_outcome(&self) -> AttemptOutcome {
        match self {
            Self::Answered { status, .. } if *status >= 500 && *status != 504 => {
                AttemptOutcome::Failed
            }
            Self::Answered { .. } => AttemptOutcome::Served,
            Self::Lost { .. } => AttemptOutcome::Failed,
            Self::Rejected { .. } => AttemptOutcome::Rejected,
            Self::Refused { .. } => AttemptOutcome::Refused,
        }
    }
}

/// Result of a call for the ingress that made it.
#[derive(Debug, Clone, PartialEq)]
pub enum CallResult {
    /// The executor reported the outcome.
    Replied(Box<super::Reply>),
    /// The call did not reach the executor and will never run.
    NotSent,
    /// The executor's daemon terminated while the call was open; the call may have run.
    ExecutorTerminated,
    /// The executor cannot be reached; the call may have run or still be running.
    Unreachable,
}
