//! Sends one attempt to the executor of another daemon.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use futures_util::future::Either;
use http_body_util::BodyExt;
use hyper::body::Body;
use marigold_request::silence::ConnectionState;
use marigold_request::{LoadReport, Refusal, RefusalReason, ReplyBody, ReplyHead, StreamOpen};
use marigold_types::{Address, RequestId};
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep_until};

use super::peer_body::PeerBody;
use super::replay_body::AttemptBody;
use crate::executor::{Answer, AnswerBody, MAX_BUFFERED_ANSWER_BYTES, RETRY_DELAY, RunResult};
use crate::peer::codec::{self, Frames};
use crate::peer::{CallSend, PeerLink, QuicBody, QuicPeers, pump};

/// The result of an attempt and the load that the executor reported.
pub struct AttemptResult {
    /// The result of the request.
    pub result: RunResult,
    /// The load of the executor; none when it did not reply.
    pub load: Option<LoadReport>,
}

impl AttemptResult {
    /// Creates the result of an attempt without a reply of the executor.
    #[must_use]
    pub fn without_load(result: RunResult) -> Self {
        Self { result, load: None }
    }
}

/// Aborts a task when it is dropped.
pub struct AbortGuard(AbortHandle);

impl Drop for AbortGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// The parameters of an attempt at one executor.
pub struct RemoteCall<'a> {
    /// Connections to other daemons.
    pub peers: &'a Arc<QuicPeers>,
    /// The daemon of the executor.
    pub to: Address,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// When the complete response must have arrived.
    pub deadline: Instant,
}

impl RemoteCall<'_> {
    /// Sends the request and reads the head of the reply.
    ///
    /// Sets `sent` before anything is sent, so that code that cancels this future knows whether the
    /// request may have run.
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
        let pending = stream.link.track_request();
        let (link, guard) = (stream.link.clone(), stream.guard);
        let mut frames = stream.frames;
        let sending = Box::pin(send_request(stream.send, head, body));
        let reading = Box::pin(self.read_head(&mut frames, &link));
        let (result, unfinished_send) = match futures_util::future::select(sending, reading).await {
            Either::Left(((), reading)) => (reading.await, None),
            // The reply may arrive before the whole body has been sent.
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
        pending.answered();
        let task = unfinished_send
            .map(|unfinished_send| AbortGuard(tokio::spawn(unfinished_send).abort_handle()));
        let load = Some(reply.load);
        let result = match reply.body {
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
        AttemptResult { result, load }
    }

    /// Waits for the head of the reply until the connection is found silent.
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
                    if link.check_silence() == ConnectionState::Silent {
                        self.peers.retire(self.to, link);
                        return Err("connection to the other daemon is silent");
                    }
                }
            }
        }
    }

    /// Buffers a small response body, so that the caller gets a readable *unknown* response if the
    /// body is truncated.
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

/// Sends head and body; the reply stream reports a failure.
async fn send_request(mut send: CallSend, head: Bytes, mut body: AttemptBody) {
    if body.is_end_stream() {
        if send.write(head).await.is_ok() {
            send.finish();
        }
        return;
    }
    // The first chunk of the body is sent together with the head if it has already arrived.
    let mut first = BytesMut::from(head.as_ref());
    if let Some(Some(Ok(frame))) = futures_util::FutureExt::now_or_never(body.frame())
        && let Ok(data) = frame.into_data()
    {
        first.extend_from_slice(&data);
    }
    if send.write(first.freeze()).await.is_ok() {
        // On failure the reset stream tells the executor that the body is incomplete.
        let _ = pump(body, &mut send).await;
    }
}
