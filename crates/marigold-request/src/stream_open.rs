//! The first frame of a stream between two daemons.

use serde::{Deserialize, Serialize};

use crate::limits::Demand;
use crate::quarantine::CrashRecord;
use crate::{CallHead, WitnessRequest};

/// The purpose of a bidirectional stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StreamOpen {
    /// A request to run, followed by body frames. The reply is a [`ReplyHead`](crate::ReplyHead).
    Call(CallHead),
    /// A request to a witness. The reply is a [`WitnessAnswer`](crate::WitnessAnswer).
    Witness(WitnessRequest),
    /// A daemon's demands for shared rate limits. The reply is a list of
    /// [`Grant`](crate::limits::Grant)s.
    Demand(Vec<Demand>),
    /// Records of requests that were in flight at a crash. The reply is the receiver's own list.
    #[serde(rename = "Sentences")]
    CrashRecords(Vec<CrashRecord>),
}
