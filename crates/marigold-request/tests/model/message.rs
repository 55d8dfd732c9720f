//! The messages of the model. Each may be delayed, lost, duplicated or reordered.

use marigold_request::WitnessAnswer;
use marigold_request::at_most_once::ExecutorReply;

/// One attempt to send the request, by one of the two ingresses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Send {
    pub ingress: usize,
    pub number: u8,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    Call(Send),
    Reply(Send, ExecutorReply),
    Start,
    Started(WitnessAnswer),
    Seal(Send),
    Sealed(Send, WitnessAnswer),
    /// The request in transit to the backend server, where a crash of the executor leaves it.
    Run,
}

impl Message {
    /// Returns whether the network may duplicate the message. The local connection to the backend
    /// server does not duplicate any.
    pub fn may_be_duplicated(&self) -> bool {
        matches!(self, Self::Call(_) | Self::Start | Self::Seal(_))
    }
}
