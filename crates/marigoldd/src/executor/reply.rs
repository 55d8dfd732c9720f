//! What comes of a request at its executor.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use marigold_request::{LoadReport, Refusal, ReplyBody, ReplyHead};
use marigold_types::RequestId;

use crate::caller::fields::Fields;
use crate::peer::BodyError;

/// The body of a request on its way to the backend server.
pub type RequestBody = UnsyncBoxBody<Bytes, BodyError>;

/// The body of an answer on its way back.
pub enum AnswerBody {
    /// All of it.
    Whole(Bytes),
    /// It comes as the backend server sends it.
    Stream(UnsyncBoxBody<Bytes, BodyError>),
}

/// The answer of the backend server.
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The headers that are handed on.
    pub fields: Fields,
    /// Whether it is the stored answer of an earlier run under the same key.
    pub stored: bool,
    /// The body.
    pub body: AnswerBody,
}

/// What became of a request at its executor.
pub enum RunResult {
    /// The backend server answered.
    Answered(Answer),
    /// It certainly did not run.
    NotRun(Refusal),
    /// It may have run.
    Unknown(Arc<str>),
}

impl RunResult {
    /// Builds the end of a request that was lost at `step`.
    #[must_use]
    pub fn unknown(step: &str) -> Self {
        Self::Unknown(Arc::from(step))
    }

    /// Splits into the head that travels first and the body after it.
    #[must_use]
    pub fn into_parts(self, id: RequestId, load: LoadReport) -> (ReplyHead, AnswerBody) {
        let (body, rest) = match self {
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
        (ReplyHead { id, load, body }, rest)
    }
}
