//! What daemons of a scenario send each other.

use std::sync::Arc;

use marigold_request::at_most_once::RequestKey;
use marigold_request::{CallHead, LoadReport, Refusal, WitnessAnswer};

/// The index of a daemon.
pub type NodeId = usize;
/// The number of one attempt of one call.
pub type AttemptId = u64;

/// How an attempt ended.
#[derive(Debug, Clone)]
pub enum Ran {
    /// The backend server answered with this status and body.
    Answered(u16, Arc<str>),
    /// It certainly did not run.
    NotRun(Refusal),
    /// It may have run.
    Unknown(&'static str),
}

/// A request as the executor gets it.
#[derive(Debug, Clone)]
pub struct Request {
    /// The name that the scenario gave it.
    pub name: Arc<str>,
    /// Its head.
    pub head: CallHead,
    /// Its key.
    pub key: Option<RequestKey>,
    /// Its body.
    pub body: Arc<str>,
}

/// One message.
#[derive(Debug, Clone)]
pub enum Message {
    /// A request to run.
    Call(AttemptId, Box<Request>),
    /// What became of it.
    Reply(AttemptId, Ran, LoadReport),
    /// An executor asks its witness to start a key.
    Start(RequestKey),
    /// The witness's answer.
    Started(RequestKey, WitnessAnswer),
    /// An ingress asks a witness to seal the key of a call.
    Seal(Arc<str>, RequestKey),
    /// The witness's answer.
    Sealed(Arc<str>, WitnessAnswer),
    /// A probe of the connection.
    Probe,
    /// The sign of life that answers a probe.
    Alive,
}

impl Message {
    /// Names the kind for the step that repeats a message.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Call(..) => "call",
            Self::Start(_) => "start",
            _ => "other",
        }
    }
}
