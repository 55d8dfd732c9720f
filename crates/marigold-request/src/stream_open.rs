//! The first frame of a stream between two daemons.

use serde::{Deserialize, Serialize};

use crate::limits::Demand;
use crate::quarantine::Sentence;
use crate::{CallHead, WitnessRequest};

/// Says what a bidirectional stream is for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StreamOpen {
    /// A request to run; body frames follow it, and a [`ReplyHead`](crate::ReplyHead) comes back.
    Call(CallHead),
    /// A question to a witness; a [`WitnessAnswer`](crate::WitnessAnswer) comes back.
    Witness(WitnessRequest),
    /// What a daemon needs of shared limits; [`Grant`](crate::limits::Grant)s come back as a list.
    Demand(Vec<Demand>),
    /// Requests held to crash backend servers; the receiver's own list comes back.
    Sentences(Vec<Sentence>),
}
