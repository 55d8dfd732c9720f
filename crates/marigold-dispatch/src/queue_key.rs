//! The queues in which requests wait for a slot.

use crate::CallKind;

/// Each queue holds requests of one kind, either on time or late.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueKey {
    pub late: bool,
    pub kind: CallKind,
}
