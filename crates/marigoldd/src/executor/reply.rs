//! The result of a request at its executor.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use marigold_request::{LoadReport, Refusal, ReplyBody, ReplyHead};
use marigold_types::RequestId;

use crate::caller::fields::Fields;
use crate::peer::BodyError;

/// The body of a request to the backend server.
pub type RequestBody = UnsyncBoxBody<Bytes, BodyError>;

/// The body of an answer.
pub enum AnswerBody {
    /// The complete body.
    Whole(Bytes),
    /// A body that is read as the backend server sends it.
    Stream(UnsyncBoxBody<Bytes, BodyError>),
}

/// The answer of the backend server.
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The headers to forward.
    pub fields: Fields,
    /// Whether it is the stored answer of an earlier run under the same key.
    pub stored: bool,
    /// The body, complete or streamed.
    pub body: AnswerBody,
}

/// The result of a request at its executor.
pub enum RunResult {
    /// The backend server answered.
    Answered(Answer),
    /// The request did not run.
    NotRun(Refusal),
    /// The request may have run; holds the step at which its result was lost.
    Unknown(Arc<str>),
}

impl RunResult {
    /// Creates the unknown result of a request whose answer was lost at `step`.
    #[must_use]
    pub fn unknown(step: &str) -> Self {
        Self::Unknown(Arc::from(step))
    }

    /// Splits the result into the head, which is sent first, and the body.
    #[must_use]
    pub fn into_parts(self, id: RequestId, load: LoadReport) -> (ReplyHead, AnswerBody) {
        let (body, answer_body) = match self {
            Self::Answered(answer) => {
                let head = ReplyBody::Answered {
                    status: answer.status,
                    headers: answer.fields,
                    stored: answer.stored,
                };
                (head, answer.body)
            }
            Self::NotRun(refusal) => (ReplyBody::NotRun(refusal), AnswerBody::Whole(Bytes::new())),
            Self::Unknown(step) => (ReplyBody::Unknown { step }, AnswerBody::Whole(Bytes::new())),
        };
        (ReplyHead { id, load, body }, answer_body)
    }
}
