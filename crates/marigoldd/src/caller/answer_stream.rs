//! Response bodies that end the records of their call when they have been sent.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use marigold_types::Outcome;
use tokio::time::{Instant, Sleep, sleep_until};

use super::attempt_record::AttemptRecord;
use super::call_record::CallRecord;
use super::response::CallerBody;
use crate::peer::BodyError;

/// The records of a call whose response is being sent.
pub struct AnswerRecords {
    /// The answered attempt; none when its backend server is not in the view.
    pub attempt: Option<AttemptRecord>,
    /// The call that the attempt belongs to.
    pub call: CallRecord,
}

impl AnswerRecords {
    /// Reports the outcome of the attempt and of the call.
    pub fn finish(self, outcome: Outcome) {
        if let Some(attempt) = self.attempt {
            attempt.finish(outcome, None);
        }
        self.call.finish(outcome, None);
    }
}

/// A fully buffered body; the call counts as answered once the connection has taken it.
pub struct BufferedAnswer {
    bytes: Bytes,
    records: Option<AnswerRecords>,
}

impl BufferedAnswer {
    /// Creates the body from `bytes`.
    #[must_use]
    pub fn new(bytes: Bytes, records: AnswerRecords) -> Self {
        Self {
            bytes,
            records: Some(records),
        }
    }

    fn finish(&mut self) {
        if let Some(records) = self.records.take() {
            records.finish(Outcome::Answered);
        }
    }
}

impl Body for BufferedAnswer {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.finish();
        let bytes = std::mem::take(&mut self.bytes);
        Poll::Ready((!bytes.is_empty()).then(|| Ok(Frame::data(bytes))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes.len() as u64)
    }
}

impl Drop for BufferedAnswer {
    fn drop(&mut self) {
        // Empty bodies and those of HEAD responses are never polled.
        self.finish();
    }
}

/// Forwards a body as it arrives; a truncated or late body fails, which aborts the caller's
/// connection.
pub struct AnswerStream {
    body: CallerBody,
    timer: Pin<Box<Sleep>>,
    records: Option<AnswerRecords>,
}

impl AnswerStream {
    /// Creates a stream that fails when `body` is not complete by `deadline`.
    #[must_use]
    pub fn new(body: CallerBody, deadline: Instant, records: AnswerRecords) -> Self {
        Self {
            body,
            timer: Box::pin(sleep_until(deadline)),
            records: Some(records),
        }
    }

    fn finish(&mut self, outcome: Outcome) {
        if let Some(records) = self.records.take() {
            records.finish(outcome);
        }
    }
}

impl Body for AnswerStream {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.timer.as_mut().poll(cx).is_ready() {
            self.finish(Outcome::Unknown);
            return Poll::Ready(Some(Err(BodyError::new(&"the deadline has passed"))));
        }
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        match &frame {
            Some(Ok(_)) => {}
            Some(Err(_)) => self.finish(Outcome::Unknown),
            None => self.finish(Outcome::Answered),
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        // The end must be polled, since that finishes the records.
        self.records.is_none() && self.body.is_end_stream()
    }
}
