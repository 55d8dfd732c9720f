//! Outcomes of calls whose ingress was cut off when they ended.

mod common;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use common::{TEST_TIMEOUT, call, listener, local_tests, site};
use marigold_dispatch::SiteReport;
use marigold_sidecar::link::{
    Call, CallHandler, CallId, CallOutcome, Frame, FrameCodec, Hello, LinkServer, Packet, Reply,
    ReplyHandle, SessionId,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tokio_util::codec::{Decoder, Encoder};
use tokio_util::sync::CancellationToken;

/// Holds calls until the test answers them with their own bodies.
#[derive(Default)]
struct HoldingHandler {
    calls: RefCell<Vec<(Call, ReplyHandle)>>,
    started: Cell<usize>,
}

impl CallHandler for HoldingHandler {
    fn start(&self, call: Call, reply: ReplyHandle, _cancelled: CancellationToken) {
        self.started.set(self.started.get() + 1);
        self.calls.borrow_mut().push((call, reply));
    }

    fn report(&self) -> SiteReport {
        site()
    }
}

impl HoldingHandler {
    fn answer_all(&self) {
        for (call, handle) in self.calls.borrow_mut().drain(..) {
            handle.send(Reply {
                id: CallId::default(),
                outcome: CallOutcome::Answered {
                    status: 200,
                    fields: Bytes::new(),
                },
                waited: Duration::ZERO,
                ran: Duration::ZERO,
                site: site(),
                body: call.body,
            });
        }
    }
}

/// Ends `count` calls with responses of `size` bytes while their ingress is cut off for `cut`. Returns, for each call that the
/// executor knows after the reconnect, whether its response is still there rather than lost.
async fn outcomes_after_cut(cut: Duration, size: usize, count: u64) -> Vec<bool> {
    let handler = Rc::new(HoldingHandler::default());
    let (listener, address) = listener().await;
    spawn_local(LinkServer::new(1, handler.clone()).listen(listener));
    let mut stream = TcpStream::connect(address).await.expect("the executor");
    let mut out = BytesMut::new();
    let hello = |epoch, open| {
        Frame::Hello(Hello {
            session: SessionId(1),
            epoch,
            open,
        })
    };
    encode(hello(1, Vec::new()), Bytes::new(), &mut out);
    let ids: Vec<_> = (1..=count).map(CallId).collect();
    for id in &ids {
        let call = Call {
            id: *id,
            floor: CallId(1),
            ..call("r", false)
        };
        encode(Frame::Call(call), Bytes::from(vec![b'x'; size]), &mut out);
    }
    stream.write_all(&out).await.expect("sent");
    while handler.started.get() < ids.len() {
        sleep(Duration::from_millis(1)).await;
    }
    handler.answer_all();
    tokio::time::pause();
    tokio::time::advance(cut).await;
    tokio::time::resume();
    // The executor has not noticed the cut.
    let mut again = TcpStream::connect(address).await.expect("the executor");
    out.clear();
    encode(hello(2, ids), Bytes::new(), &mut out);
    again.write_all(&out).await.expect("sent");
    let (mut codec, mut input) = (FrameCodec::default(), BytesMut::new());
    let mut awaited = None;
    let mut outcomes = Vec::new();
    let receive = async {
        while awaited != Some(outcomes.len()) {
            while let Some(Packet { frame, .. }) = codec.decode(&mut input).expect("a frame") {
                match frame {
                    Frame::Welcome(welcome) => {
                        awaited = usize::try_from(count)
                            .ok()
                            .map(|count| count - welcome.unknown.len());
                    }
                    Frame::Reply(reply) => {
                        outcomes.push(matches!(reply.outcome, CallOutcome::Answered { .. }));
                    }
                    _ => {}
                }
            }
            if awaited != Some(outcomes.len()) {
                again
                    .read_buf(&mut input)
                    .await
                    .expect("an open connection");
            }
        }
    };
    timeout(TEST_TIMEOUT, receive)
        .await
        .expect("replies in time");
    outcomes
}

fn encode(frame: Frame, body: Bytes, out: &mut BytesMut) {
    let packet = Packet { frame, body };
    FrameCodec::default()
        .encode(packet, out)
        .expect("an encoded frame");
}

local_tests! {
    // Guards against TWICE: a call whose outcome was dropped passed for one that never arrived, and ran again elsewhere.
    ended_call_passes_for_one_that_never_arrived_after_a_cut {
        for (cut, is_answered) in [(4, true), (15, false)] {
            let outcomes = outcomes_after_cut(Duration::from_secs(cut), 10, 1).await;
            assert_eq!(outcomes, [is_answered], "after {cut} s");
        }
    }

    // As above, where the responses of a session need more room than there is.
    ended_call_with_a_large_response_passes_for_one_that_never_arrived {
        let outcomes = outcomes_after_cut(Duration::from_secs(1), 400 << 10, 4).await;
        assert_eq!(outcomes, [false, false, true, true]);
    }

    // Guards against the memory of outcomes that nobody waits for.
    outcome_is_known_after_the_deadline_of_its_call {
        let outcomes = outcomes_after_cut(TEST_TIMEOUT + Duration::from_secs(2), 10, 1).await;
        assert!(outcomes.is_empty(), "it counts as one that was not received");
    }
}
