//! An answer between executor and ingress.

use std::sync::Arc;

use marigold_types::RequestId;
use serde::{Deserialize, Serialize};

use crate::{LoadReport, Refusal};

/// What became of the request at the executor.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplyBody {
    /// The backend server answered; body frames follow.
    Answered {
        /// The HTTP status.
        status: u16,
        /// The headers that are handed on, in order.
        headers: Vec<(Arc<str>, Vec<u8>)>,
        /// Whether it is the stored answer of an earlier run under the same key.
        stored: bool,
    },
    /// It certainly did not run.
    NotRun(Refusal),
    /// It may have run.
    Unknown {
        /// The step at which the answer was lost.
        step: Arc<str>,
    },
}

/// The first frame that comes back on a call's stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplyHead {
    /// The id of the request that it answers.
    pub id: RequestId,
    /// How busy the executor is.
    pub load: LoadReport,
    /// What became of the request.
    pub body: ReplyBody,
}
