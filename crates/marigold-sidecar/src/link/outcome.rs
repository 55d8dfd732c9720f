//! What becomes of a call.

use std::time::Duration;

use bytes::Bytes;
use marigold_request::RefusalReason;
use serde::{Deserialize, Serialize};

/// What the executor says of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallOutcome {
    /// The backend server ran it and answered.
    Answered {
        /// The answer's status.
        status: u16,
        /// The answer's fields.
        fields: Bytes,
    },
    /// The executor refused it: it did not reach the backend server and never will.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// When there is likely room.
        retry_after: Duration,
    },
    /// It reached the backend server, which said that it did not run it.
    Rejected {
        /// The answer's status.
        status: u16,
    },
    /// It reached the backend server and may have run; there is no answer.
    Lost {
        /// Whether the connection to the backend server broke, rather than stayed silent.
        broken: bool,
    },
}

/// How a call ends for the ingress that made it.
#[derive(Debug, Clone, PartialEq)]
pub enum CallResult {
    /// The executor told what became of it.
    Replied(Box<super::Reply>),
    /// It never reached the executor and never will run.
    NotSent,
    /// The executor's daemon has ended with it; it may have run.
    ExecutorTerminated,
    /// The executor cannot be reached; the call may run.
    Unreachable,
}
