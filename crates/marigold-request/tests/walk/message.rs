//! What travels in the model; each message may be late, lost, twice or out of order.

use marigold_request::WitnessAnswer;
use marigold_request::at_most_once::ExecutorReply;

/// One of the two ingresses, and which of its sends.
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
    /// The request on its way into the backend server, which a crash of the executor leaves there.
    Run,
}

impl Message {
    /// Whether the network may bring it twice; a local connection to the backend server does not.
    pub fn may_repeat(&self) -> bool {
        matches!(self, Self::Call(_) | Self::Start | Self::Seal(_))
    }
}
