//! One attempt at the executor beside another daemon.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use futures_util::future::Either;
use http_body_util::BodyExt;
use hyper::body::Body;
use marigold_request::silence::Verdict;
use marigold_request::{LoadReport, Refusal, RefusalReason, ReplyBody, ReplyHead, StreamOpen};
use marigold_types::{Address, RequestId};
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep_until};

use super::peer_body::PeerBody;
use super::replay_body::AttemptBody;
use crate::executor::{Answer, AnswerBody, MAX_BUFFERED_ANSWER_BYTES, RETRY_DELAY, RunResult};
use crate::peer::codec::{self, Frames};
use crate::peer::{CallSend, PeerLink, QuicBody, QuicPeers, pump};

/// What came of an attempt, with the load that the executor gave.
pub struct AttemptResult {
    /// What became of the request.
    pub ran: RunResult,
    /// How busy the executor is, where it said so.
    pub load: Option<LoadReport>,
}

impl AttemptResult {
    /// Builds an attempt that brought no word of the executor.
    #[must_use]
    pub fn without_load(ran: RunResult) -> Self {
        Self { ran, load: None }
    }
}

/// Ends a task when it is dropped.
pub struct AbortGuard(AbortHandle);

impl Drop for AbortGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// The way to one executor.
pub struct RemoteCall<'a> {
    /// The connections.
    pub peers: &'a Arc<QuicPeers>,
    /// The daemon beside the executor's backend server.
    pub to: Address,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// When the answer must be whole.
    pub deadline: Instant,
}

impl RemoteCall<'_> {
    /// Sends the request and reads the head of its answer; `sent` says whether anything went out,
    /// for a caller that gives up on the way.
    pub async fn run(
        &self,
        id: RequestId,
        open: &StreamOpen,
        body: AttemptBody,
        sent: &mut bool,
    ) -> AttemptResult {
        let Ok(head) = codec::encode(open) else {
            return AttemptResult::without_load(RunResult::NotRun(Refusal::permanent(
                RefusalReason::NoRoute,
            )));
        };
        let Ok(stream) = self.peers.open(self.to, self.idempotent).await else {
            return AttemptResult::without_load(RunResult::NotRun(unreachable()));
        };
        *sent = true;
        let waiting = stream.link.track_request();
        let (link, guard) = (stream.link.clone(), stream.guard);
        let mut frames = stream.frames;
        let sending = Box::pin(send_request(stream.send, head, body));
        let reading = Box::pin(self.read_head(&mut frames, &link));
        let (result, unfinished_send) = match futures_util::future::select(sending, reading).await {
            Either::Left(((), reading)) => (reading.await, None),
            // An answer may come before the whole body has gone out.
            Either::Right((result, sending)) => (result, Some(sending)),
        };
        let reply = match result {
            Ok(reply) if reply.id == id => reply,
            Ok(_) => {
                return AttemptResult::without_load(RunResult::unknown(
                    "answer to another request",
                ));
            }
            Err(step) => return AttemptResult::without_load(RunResult::unknown(step)),
        };
        waiting.answered();
        let task = unfinished_send
            .map(|unfinished_send| AbortGuard(tokio::spawn(unfinished_send).abort_handle()));
        let load = Some(reply.load);
        let ran = match reply.body {
            ReplyBody::NotRun(refusal) => RunResult::NotRun(refusal),
            ReplyBody::Unknown { step } => RunResult::Unknown(step),
            ReplyBody::Answered {
                status,
                headers,
                stored,
            } => {
                let body = QuicBody::new(frames);
                let body = PeerBody::new(body, link, self.peers.clone(), self.to, (guard, task));
                let mut answer = Answer {
                    status,
                    fields: headers,
                    stored,
                    body: AnswerBody::Stream(body.boxed_unsync()),
                };
                match self.buffer_small_body(&mut answer).await {
                    Ok(()) => RunResult::Answered(answer),
                    Err(()) => RunResult::unknown("answer cut off between daemons"),
                }
            }
        };
        AttemptResult { ran, load }
    }

    /// Waits for the head of the answer, as long as the connection gives signs of life.
    async fn read_head(
        &self,
        frames: &mut Frames,
        link: &PeerLink,
    ) -> Result<ReplyHead, &'static str> {
        let read = codec::read::<ReplyHead>(frames);
        tokio::pin!(read);
        loop {
            let due = link.next_check().unwrap_or(self.deadline);
            tokio::select! {
                reply = &mut read => return reply.map_err(|_| "connection to the other daemon"),
                () = sleep_until(due) => {
                    if link.check_silence() == Verdict::Replace {
                        self.peers.retire(self.to, link);
                        return Err("connection to the other daemon is silent");
                    }
                }
            }
        }
    }

    /// Reads a small answer whole, so that a cut one becomes an *unknown* that can be read.
    async fn buffer_small_body(&self, answer: &mut Answer) -> Result<(), ()> {
        let length = answer
            .fields
            .iter()
            .find(|(name, _)| &**name == "content-length");
        let length: Option<u64> = length
            .and_then(|(_, value)| std::str::from_utf8(value).ok())
            .and_then(|text| text.parse().ok());
        if length.is_none_or(|length| length > MAX_BUFFERED_ANSWER_BYTES) {
            return Ok(());
        }
        let body = std::mem::replace(&mut answer.body, AnswerBody::Whole(Bytes::new()));
        if let AnswerBody::Stream(body) = body {
            let collected = body.collect().await.map_err(|_| ())?;
            answer.body = AnswerBody::Whole(collected.to_bytes());
        }
        Ok(())
    }
}

fn unreachable() -> Refusal {
    Refusal::retryable(RefusalReason::Unreachable, RETRY_DELAY)
}

/// Sends head and body; a failure shows on the stream of the answer.
async fn send_request(mut send: CallSend, head: Bytes, mut body: AttemptBody) {
    if body.is_end_stream() {
        if send.write(head).await.is_ok() {
            send.finish();
        }
        return;
    }
    // The first part of the body travels with the head where it is here already.
    let mut first = BytesMut::from(head.as_ref());
    if let Some(Some(Ok(frame))) = futures_util::FutureExt::now_or_never(body.frame())
        && let Ok(data) = frame.into_data()
    {
        first.extend_from_slice(&data);
    }
    if send.write(first.freeze()).await.is_ok() {
        // The cut stream tells the executor.
        let _ = pump(body, &mut send).await;
    }
}
