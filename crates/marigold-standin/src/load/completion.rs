//! The last word on a call.

use std::sync::Arc;

use super::CallEnd;

/// How a call ended, and why where the mesh said so.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallCompletion {
    /// How it ended.
    pub end: CallEnd,
    /// The mesh's reason for not answering it.
    pub reason: Option<Arc<str>>,
}

impl From<CallEnd> for CallCompletion {
    fn from(end: CallEnd) -> Self {
        Self { end, reason: None }
    }
}
