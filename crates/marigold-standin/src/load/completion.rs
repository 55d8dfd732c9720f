//! End of a call.

use std::sync::Arc;

use super::CallEnd;

/// The end of a call as its caller saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallCompletion {
    /// How the call ended.
    pub end: CallEnd,
    /// The reason that the mesh gave for not answering; absent if it gave none.
    pub reason: Option<Arc<str>>,
}

impl From<CallEnd> for CallCompletion {
    fn from(end: CallEnd) -> Self {
        Self { end, reason: None }
    }
}
