//! Reads a body up to a size limit.

use std::collections::VecDeque;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::{Body, Frame};

use super::AnswerBody;
use crate::peer::BodyError;

/// The result of reading a body up to a limit.
pub enum Collected {
    /// The complete body.
    Whole(Bytes),
    /// The body exceeds the limit; this one yields what was read and then the rest.
    OverLimit(UnsyncBoxBody<Bytes, BodyError>),
}

/// Reads `body` completely if it has at most `limit` bytes.
///
/// # Errors
///
/// If the body is truncated.
pub async fn collect_up_to(body: AnswerBody, limit: usize) -> Result<Collected, BodyError> {
    let mut rest = match body {
        AnswerBody::Whole(bytes) => return Ok(Collected::Whole(bytes)),
        AnswerBody::Stream(body) => body,
    };
    let mut parts = Vec::new();
    let mut size = 0;
    while let Some(frame) = rest.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        size += data.len();
        parts.push(data);
        if size > limit {
            let parts = parts.into_iter().map(|part| Ok(Frame::data(part)));
            return Ok(Collected::OverLimit(resume(parts.collect(), rest)));
        }
    }
    let mut whole = BytesMut::with_capacity(size);
    for part in parts {
        whole.extend_from_slice(&part);
    }
    Ok(Collected::Whole(whole.freeze()))
}

type Part = Result<Frame<Bytes>, BodyError>;

/// Returns a body that yields `parts`, which were read already, and then `rest`.
pub fn resume(
    parts: Vec<Part>,
    rest: UnsyncBoxBody<Bytes, BodyError>,
) -> UnsyncBoxBody<Bytes, BodyError> {
    let parts = VecDeque::from(parts);
    Resumed { parts, rest }.boxed_unsync()
}

struct Resumed {
    parts: VecDeque<Part>,
    rest: UnsyncBoxBody<Bytes, BodyError>,
}

impl Body for Resumed {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.parts.pop_front() {
            Some(part) => Poll::Ready(Some(part)),
            None => Pin::new(&mut self.rest).poll_frame(cx),
        }
    }
}
