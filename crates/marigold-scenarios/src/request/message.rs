//! The messages between the daemons of a scenario.

use std::sync::Arc;

use marigold_request::at_most_once::RequestKey;
use marigold_request::{CallHead, LoadReport, Refusal, WitnessAnswer};

/// The index of a daemon in [`Mesh::nodes`](super::mesh::Mesh::nodes).
pub type NodeId = usize;
/// The number of an attempt, unique in a scenario.
pub type AttemptId = u64;

/// The result of an attempt.
#[derive(Debug, Clone)]
pub enum AttemptResult {
    /// The backend server answered with this status and body.
    Answered(u16, Arc<str>),
    /// It did not run.
    NotRun(Refusal),
    /// It may have run; carries the step that failed.
    Unknown(&'static str),
}

/// A request as sent to the executor.
#[derive(Debug, Clone)]
pub struct Request {
    /// The name of its key, or its name in the scenario if it has no key.
    pub name: Arc<str>,
    /// Its metadata.
    pub head: CallHead,
    /// Its key, if it carries a valid one.
    pub key: Option<RequestKey>,
    /// Its body; [`POISON_BODY`](super::server::POISON_BODY) crashes the backend server.
    pub body: Arc<str>,
}

/// A message between two daemons.
#[derive(Debug, Clone)]
pub enum Message {
    /// A request to run.
    Call(AttemptId, Box<Request>),
    /// The answer to [`Message::Call`].
    Reply(AttemptId, AttemptResult, LoadReport),
    /// Asks a key's witness whether its request may run; sent by the executor.
    Start(RequestKey),
    /// The answer to [`Message::Start`].
    Started(RequestKey, WitnessAnswer),
    /// Asks a key's witness to prevent its request from running; sent by the ingress of a call.
    Seal(Arc<str>, RequestKey),
    /// The answer to [`Message::Seal`].
    Sealed(Arc<str>, WitnessAnswer),
    /// Asks whether the connection still works.
    Probe,
    /// The answer to [`Message::Probe`].
    Alive,
}

impl Message {
    /// Returns the kind of message, as the `repeat` command names it.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Call(..) => "call",
            Self::Start(_) => "start",
            _ => "other",
        }
    }
}
