//! The first frame of a stream between two daemons.

use serde::{Deserialize, Serialize};

use crate::{CallHead, WitnessRequest};

/// Says what a bidirectional stream is for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StreamOpen {
    /// A request to run; body frames follow it, and a [`ReplyHead`](crate::ReplyHead) comes back.
    Call(CallHead),
    /// A question to a witness; a [`WitnessAnswer`](crate::WitnessAnswer) comes back.
    Witness(WitnessRequest),
}
