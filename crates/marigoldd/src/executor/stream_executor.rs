//! Serves the streams of other daemons.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use marigold_request::deadline::Deadline;
use marigold_request::drain::Phase;
use marigold_request::{CallHead, StreamOpen};
use tokio::time::{Instant, timeout, timeout_at};

use super::{AnswerBody, InFlight, LocalExecutor, Witnesses, exchange};
use crate::caller::IngressState;
use crate::peer::codec::{self, FrameError};
use crate::peer::{CallSend, IncomingStream, QuicBody, StreamServer, pump};

/// How long the first frame of a stream may take.
const OPEN_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a shutdown waits for an answer to arrive.
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(1);

/// Joins the executor, the witness and the shared decisions to the connections.
pub struct StreamExecutor {
    /// The executor.
    pub executor: Arc<LocalExecutor>,
    /// The witness.
    pub witnesses: Arc<Witnesses>,
    /// The keeper of shared limits.
    pub ingress_state: Arc<IngressState>,
    /// What is in flight.
    pub in_flight: Arc<InFlight>,
}

impl StreamExecutor {
    /// Runs a request and sends its answer; a daemon that goes away cancels it.
    async fn call(
        &self,
        head: CallHead,
        body: QuicBody,
        send: &mut CallSend,
    ) -> Result<(), FrameError> {
        // The executor refuses what comes too late; its refusal is not counted.
        let _counted = self.in_flight.start();
        let id = head.id;
        let deadline = Deadline::after(head.left, Instant::now());
        let ran = tokio::select! {
            ran = self.executor.run(head, body.boxed_unsync()) => ran,
            () = send.stopped() => return Ok(()),
        };
        let (reply, body) = ran.into_parts(id, self.executor.load());
        let frame = codec::encode(&reply)?;
        // A failed write means that nobody waits any more; the cut stream says the rest.
        match body {
            AnswerBody::Whole(bytes) => {
                if send.write(join(frame, &bytes)).await.is_ok() {
                    send.finish();
                }
            }
            AnswerBody::Stream(body) => {
                if send.write(frame).await.is_ok() {
                    let _ = timeout_at(deadline.0, pump(body, send)).await;
                }
            }
        }
        self.see_off(send).await;
        Ok(())
    }

    /// Waits in a shutdown until the answer has arrived, since the close would cut it off.
    async fn see_off(&self, send: &CallSend) {
        if *self.in_flight.phase().borrow() != Phase::Serving {
            let _ = timeout(ARRIVAL_TIMEOUT, send.stopped()).await;
        }
    }
}

#[async_trait]
impl StreamServer for StreamExecutor {
    async fn serve(&self, stream: IncomingStream) -> Result<(), FrameError> {
        let IncomingStream {
            mut send,
            mut frames,
            guard,
            from,
        } = stream;
        let open = timeout(OPEN_TIMEOUT, codec::read(&mut frames)).await;
        let open = open.map_err(|_| FrameError::Ended)??;
        match open {
            StreamOpen::Call(head) => {
                self.call(head, QuicBody::new(frames), &mut send).await?;
            }
            StreamOpen::Witness(request) => self.witnesses.reply(&request, &mut send).await?,
            StreamOpen::Demand(demands) => {
                // A daemon that has not been told by its greeting gets no share, and asks again.
                if let Some(from) = from.get() {
                    let now = Instant::now();
                    let grants = self.ingress_state.limiter().on_demand(*from, &demands, now);
                    exchange::answer(&mut send, &grants).await?;
                }
            }
            StreamOpen::Sentences(sentences) => {
                let known = self.executor.crashes.receive(&sentences);
                exchange::answer(&mut send, &known).await?;
            }
        }
        drop(guard);
        Ok(())
    }
}

/// Puts a small answer into the packet of its head.
fn join(frame: Bytes, body: &Bytes) -> Bytes {
    if body.is_empty() {
        return frame;
    }
    let mut joined = BytesMut::with_capacity(frame.len() + body.len());
    joined.extend_from_slice(&frame);
    joined.extend_from_slice(body);
    joined.freeze()
}
