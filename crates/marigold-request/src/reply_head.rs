//! The head of a reply from an executor to an ingress.

use std::sync::Arc;

use marigold_types::RequestId;
use serde::{Deserialize, Serialize};

use crate::{LoadReport, Refusal};

/// The outcome of a request at the executor.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplyBody {
    /// The backend server answered; body frames follow.
    Answered {
        /// The HTTP status.
        status: u16,
        /// The forwarded headers, in order.
        headers: Vec<(Arc<str>, Vec<u8>)>,
        /// Whether this is the stored answer of an earlier run with the same key.
        stored: bool,
    },
    /// The request did not run.
    NotRun(Refusal),
    /// The request may have run.
    Unknown {
        /// The step in which the answer was lost.
        step: Arc<str>,
    },
}

/// The first reply frame on the stream of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplyHead {
    /// The id of the answered request.
    pub id: RequestId,
    /// The current load of the executor.
    pub load: LoadReport,
    /// The outcome of the request.
    pub body: ReplyBody,
}
