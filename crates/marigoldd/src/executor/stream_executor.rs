//! Serves the streams that other daemons open.

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

/// How long the first frame of a stream may take to arrive.
const OPEN_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a shutdown waits until the peer has acknowledged an answer.
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(1);

/// Dispatches incoming streams to the executor, the witness and the limit allocator.
pub struct StreamExecutor {
    /// Runs calls.
    pub executor: Arc<LocalExecutor>,
    /// Answers witness requests.
    pub witnesses: Arc<Witnesses>,
    /// Holds the limit allocator.
    pub ingress_state: Arc<IngressState>,
    /// Counts the calls in flight.
    pub in_flight: Arc<InFlight>,
}

impl StreamExecutor {
    /// Runs a request and sends its answer. It is cancelled if the ingress stops reading.
    async fn call(
        &self,
        head: CallHead,
        body: QuicBody,
        send: &mut CallSend,
    ) -> Result<(), FrameError> {
        // During a shutdown this is `None`, and the executor refuses the request.
        let _in_flight = self.in_flight.start();
        let id = head.id;
        let deadline = Deadline::after(head.left, Instant::now());
        let result = tokio::select! {
            result = self.executor.run(head, body.boxed_unsync()) => result,
            () = send.stopped() => return Ok(()),
        };
        let (reply, body) = result.into_parts(id, self.executor.load());
        let frame = codec::encode(&reply)?;
        // A failed write means that the ingress no longer waits. The stream is reset on drop.
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
        self.wait_for_arrival(send).await;
        Ok(())
    }

    /// During a shutdown, waits until the answer has arrived, since closing the connection would
    /// truncate it.
    async fn wait_for_arrival(&self, send: &CallSend) {
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
                // Without the greeting the daemon is not known yet. It gets no share and retries.
                if let Some(from) = from.get() {
                    let now = Instant::now();
                    let grants = self.ingress_state.limiter().on_demand(*from, &demands, now);
                    exchange::answer(&mut send, &grants).await?;
                }
            }
            StreamOpen::CrashRecords(records) => {
                let known = self.executor.crashes.receive(&records);
                exchange::answer(&mut send, &known).await?;
            }
        }
        drop(guard);
        Ok(())
    }
}

/// Joins the frame of the head and a buffered body, so that both fit into one packet if small.
fn join(frame: Bytes, body: &Bytes) -> Bytes {
    if body.is_empty() {
        return frame;
    }
    let mut joined = BytesMut::with_capacity(frame.len() + body.len());
    joined.extend_from_slice(&frame);
    joined.extend_from_slice(body);
    joined.freeze()
}
