//! Calls between daemons, including over connections that fail.

mod common;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use common::{TEST_TIMEOUT, call, listener, local_tests, site};
use marigold_dispatch::SiteReport;
use marigold_request::quarantine::{CrashRecord, Fingerprint};
use marigold_sidecar::link::{
    Call, CallHandler, CallId, CallOutcome, CallResult, Frame, FrameCodec, Hello, LinkClient,
    LinkEvent, LinkListener, LinkMemory, LinkServer, Packet, Reply, ReplyHandle, SessionId,
    Welcome,
};
use marigold_sidecar::{Body, MemoryBudget};
use marigold_types::ByteSize;
use tokio::io::{AsyncReadExt, AsyncWriteExt, copy_bidirectional};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::timeout;
use tokio_util::codec::{Decoder, Encoder};
use tokio_util::sync::CancellationToken;

/// Holds calls until the test answers them.
#[derive(Default)]
struct HoldingHandler {
    calls: RefCell<Vec<(Call, ReplyHandle, CancellationToken)>>,
    started: Cell<usize>,
}

impl CallHandler for HoldingHandler {
    fn start(&self, call: Call, reply: ReplyHandle, cancelled: CancellationToken) {
        self.started.set(self.started.get() + 1);
        self.calls.borrow_mut().push((call, reply, cancelled));
    }

    fn report(&self) -> SiteReport {
        site()
    }

    fn crash_records(&self) -> Vec<CrashRecord> {
        vec![CrashRecord::new(Fingerprint([1; 16]))]
    }
}

impl HoldingHandler {
    /// Answers the oldest held call with its own body.
    fn answer_next(&self) {
        self.answer_next_with(200);
    }

    /// Answers the oldest held call with its own body and this status.
    fn answer_next_with(&self, status: u16) {
        let (call, handle, _) = self.calls.borrow_mut().remove(0);
        handle.send(Reply {
            id: CallId::default(),
            outcome: CallOutcome::Answered {
                status,
                fields: Bytes::new(),
            },
            waited: Duration::ZERO,
            ran: Duration::ZERO,
            site: site(),
            body: call.body,
        });
    }
}

/// A TCP proxy between two daemons that can close all its connections.
struct Proxy {
    address: SocketAddr,
    target: Rc<Cell<SocketAddr>>,
    connections: Rc<RefCell<Vec<JoinHandle<()>>>>,
}

impl Proxy {
    async fn start(target: SocketAddr) -> Self {
        let (listener, address) = listener().await;
        let target = Rc::new(Cell::new(target));
        let connections = Rc::new(RefCell::new(Vec::new()));
        spawn_local(forward(listener, target.clone(), connections.clone()));
        Self {
            address,
            target,
            connections,
        }
    }

    fn disconnect_all(&self) {
        for connection in self.connections.borrow_mut().drain(..) {
            connection.abort();
        }
    }
}

async fn forward(
    listener: TcpListener,
    target: Rc<Cell<SocketAddr>>,
    connections: Rc<RefCell<Vec<JoinHandle<()>>>>,
) {
    loop {
        let (mut near, _) = listener.accept().await.expect("a connection");
        let to = target.get();
        connections.borrow_mut().push(spawn_local(async move {
            if let Ok(mut far) = TcpStream::connect(to).await {
                copy_bidirectional(&mut near, &mut far).await.ok();
            }
        }));
    }
}

async fn serve(run_id: u64, handler: Rc<HoldingHandler>) -> (SocketAddr, JoinHandle<()>) {
    let (listener, address) = listener().await;
    let server = LinkServer::new(run_id, handler);
    (address, spawn_local(server.listen(listener)))
}

/// Returns the memory of a link whose executor is in another process.
fn memory() -> LinkMemory {
    LinkMemory {
        budget: MemoryBudget::unlimited(),
        handover: None,
    }
}

fn client(address: SocketAddr) -> LinkClient {
    LinkClient::start(address, Rc::new(|_, _| {}), memory())
}

/// Returns a listener that counts reports, and the times that the executor was unresponsive.
fn count_events(reports: &Rc<Cell<u32>>, unresponsive: &Rc<Cell<u32>>) -> LinkListener {
    let (reports, unresponsive) = (reports.clone(), unresponsive.clone());
    Rc::new(move |_, event| match event {
        LinkEvent::Report(_) => reports.set(reports.get() + 1),
        LinkEvent::Unresponsive => unresponsive.set(unresponsive.get() + 1),
        _ => {}
    })
}

/// Returns a listener that notes the end of a connection.
fn note_end(ended: &Rc<Cell<bool>>) -> LinkListener {
    let ended = ended.clone();
    Rc::new(move |_, event| {
        if matches!(event, LinkEvent::Disconnected) {
            ended.set(true);
        }
    })
}

/// Waits until `done` returns true.
async fn wait_until(done: impl Fn() -> bool) {
    let wait = async {
        while !done() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(TEST_TIMEOUT, wait)
        .await
        .expect("the condition in time");
}

async fn result(open: marigold_sidecar::link::OpenCall) -> CallResult {
    timeout(TEST_TIMEOUT, open.wait())
        .await
        .expect("a result in time")
}

/// Returns a call with a body of `size` bytes.
fn call_with_body(request: &str, size: usize) -> Call {
    Call {
        body: Body::from(vec![b'x'; size]),
        ..call(request, false)
    }
}

local_tests! {
    small_call_passes_large_body {
        let handler = Rc::new(HoldingHandler::default());
        let (address, _task) = serve(1, handler.clone()).await;
        let client = client(address);
        let _large = client.call(call_with_body("large", 1 << 20)).expect("room in the send queue");
        let _small = client.call(call_with_body("small", 10)).expect("room in the send queue");
        wait_until(|| handler.started.get() == 2).await;
        let calls = handler.calls.borrow();
        let order: Vec<_> = calls.iter().map(|(call, _, _)| (&*call.request_id, call.body.len())).collect();
        assert_eq!(order, [("small", 10), ("large", 1 << 20)]);
    }

    bodies_beyond_budget_are_refused {
        const SIZE: usize = 100 << 10;
        let handler = Rc::new(HoldingHandler::default());
        let (listener, address) = listener().await;
        let server = LinkServer::new(1, handler.clone());
        let bodies = MemoryBudget::new(ByteSize((SIZE + SIZE / 2) as u64));
        server.set_memory(&bodies);
        spawn_local(server.listen(listener));
        let client = client(address);
        let first = client.call(call_with_body("r1", SIZE)).expect("room in the send queue");
        wait_until(|| handler.started.get() == 1).await;
        let second = client.call(call_with_body("r2", SIZE)).expect("room in the send queue");
        let CallResult::Replied(reply) = result(second).await else {
            panic!("no reply");
        };
        assert!(matches!(reply.outcome, CallOutcome::Refused { .. }), "{reply:?}");
        assert_eq!((handler.started.get(), bodies.held()), (1, SIZE));
        // A cancelled call whose parts have arrived returns its share as well.
        drop(client.call(call_with_body("r3", SIZE)).expect("room in the send queue"));
        handler.answer_next();
        result(first).await;
        // A body that alone exceeds the limit is refused as well. Its call tells that the first response has arrived.
        let large = client.call(call_with_body("r4", 4 * SIZE)).expect("room in the send queue");
        let CallResult::Replied(reply) = result(large).await else {
            panic!("no reply");
        };
        assert!(matches!(reply.outcome, CallOutcome::Refused { .. }), "{reply:?}");
        wait_until(|| bodies.held() == 0).await;
        let _next = client.call(call_with_body("r5", SIZE + SIZE / 5)).expect("room in the send queue");
        wait_until(|| handler.started.get() == 2).await;
        assert_eq!(handler.calls.borrow()[0].0.body.len(), SIZE + SIZE / 5);
    }

    body_that_ends_early_starts_no_call {
        let handler = Rc::new(HoldingHandler::default());
        let (listener, address) = listener().await;
        let server = LinkServer::new(1, handler.clone());
        let bodies = MemoryBudget::unlimited();
        server.set_memory(&bodies);
        spawn_local(server.listen(listener));
        let mut stream = TcpStream::connect(address).await.expect("the executor");
        let mut codec = FrameCodec::default();
        let mut out = BytesMut::new();
        let hello = Hello { session: SessionId(1), epoch: 1, open: Vec::new() };
        for (frame, size) in [(Frame::Hello(hello), 0), (Frame::BodyPart(CallId(1)), 1 << 10)] {
            let body = Bytes::from(vec![0; size]);
            codec.encode(Packet { frame, body }, &mut out).expect("encoded");
        }
        stream.write_all(&out).await.expect("sent");
        wait_until(|| bodies.held() == 1 << 10).await;
        drop(stream);
        wait_until(|| bodies.held() == 0).await;
        assert_eq!(handler.started.get(), 0);
    }

    answered_call_gets_its_reply {
        let handler = Rc::new(HoldingHandler::default());
        let (address, _task) = serve(1, handler.clone()).await;
        let open = client(address).call(call("r1", true)).expect("room in the send queue");
        wait_until(|| handler.started.get() == 1).await;
        handler.answer_next();
        assert!(matches!(result(open).await, CallResult::Replied(_)));
    }

    status_that_does_not_exist_is_no_answer {
        for status in [0, 99, 101, 600, 999] {
            let handler = Rc::new(HoldingHandler::default());
            let (address, _task) = serve(1, handler.clone()).await;
            let open = client(address).call(call("r1", true)).expect("room in the send queue");
            wait_until(|| handler.started.get() == 1).await;
            handler.answer_next_with(status);
            let CallResult::Replied(reply) = result(open).await else {
                panic!("no reply");
            };
            assert_eq!(reply.outcome, CallOutcome::Lost { broken: true }, "{status}");
        }
    }

    large_body_for_the_own_executor_is_handed_over {
        const SIZE: usize = 1 << 20;
        let handler = Rc::new(HoldingHandler::default());
        let (listener, address) = listener().await;
        let server = LinkServer::new(1, handler.clone());
        let budget = MemoryBudget::new(ByteSize(2 * SIZE as u64));
        server.set_memory(&budget);
        let handover = Some(server.handover().clone());
        spawn_local(server.listen(listener));
        let memory = LinkMemory { budget: budget.clone(), handover };
        let client = LinkClient::start(address, Rc::new(|_, _| {}), memory);
        let mut charge = budget.charge();
        assert!(budget.try_grow(&mut charge, SIZE));
        let body = charge.attach(&Body::from(vec![b'x'; SIZE]));
        let large = Call { body, ..call("r1", false) };
        let open = client.call(large).expect("room in the send queue");
        wait_until(|| handler.started.get() == 1).await;
        assert_eq!((handler.calls.borrow()[0].0.body.len(), budget.held()), (SIZE, SIZE));
        // A call that is dropped before the executor has taken its body leaves nothing behind.
        drop(client.call(call_with_body("r2", SIZE)).expect("room in the send queue"));
        handler.calls.borrow_mut().clear();
        drop(open);
        wait_until(|| budget.held() == 0).await;
    }

    long_bodies_are_split_and_joined {
        let handler = Rc::new(HoldingHandler::default());
        let (address, _task) = serve(1, handler.clone()).await;
        let mut long_call = call("r1", true);
        let body: Vec<u8> = (0..700_000_u32).map(|i| u8::try_from(i % 251).expect("fits")).collect();
        long_call.body = Body::from(body.clone());
        let open = client(address).call(long_call).expect("room in the send queue");
        wait_until(|| handler.started.get() == 1).await;
        handler.answer_next();
        let CallResult::Replied(reply) = result(open).await else {
            panic!("no reply");
        };
        assert!(reply.body.to_bytes() == body);
    }

    call_survives_a_reconnect {
        let handler = Rc::new(HoldingHandler::default());
        let (address, _task) = serve(1, handler.clone()).await;
        let proxy = Proxy::start(address).await;
        let open = client(proxy.address).call(call("r1", false)).expect("room in the send queue");
        wait_until(|| handler.started.get() == 1).await;
        proxy.disconnect_all();
        handler.answer_next();
        assert!(matches!(result(open).await, CallResult::Replied(_)));
        assert_eq!(handler.started.get(), 1);
    }

    lost_reply_is_sent_again_after_a_reconnect {
        let handler = Rc::new(HoldingHandler::default());
        let (address, _task) = serve(1, handler.clone()).await;
        let proxy = Proxy::start(address).await;
        let open = client(proxy.address).call(call("r1", false)).expect("room in the send queue");
        wait_until(|| handler.started.get() == 1).await;
        // The proxy stops forwarding before the reply is written, which neither daemon has detected yet.
        proxy.disconnect_all();
        handler.answer_next();
        proxy.disconnect_all();
        assert!(matches!(result(open).await, CallResult::Replied(_)));
        assert_eq!(handler.started.get(), 1);
    }

    refused_connection_ends_unsent_calls {
        let (listener, address) = listener().await;
        drop(listener);
        let open = client(address).call(call("r1", false)).expect("room in the send queue");
        assert_eq!(result(open).await, CallResult::NotSent);
    }

    restart_of_the_executor_ends_open_calls {
        let first = Rc::new(HoldingHandler::default());
        let (address, task) = serve(1, first.clone()).await;
        let proxy = Proxy::start(address).await;
        let open = client(proxy.address).call(call("r1", false)).expect("room in the send queue");
        wait_until(|| first.started.get() == 1).await;
        let second = Rc::new(HoldingHandler::default());
        let (address, _task) = serve(2, second.clone()).await;
        proxy.target.set(address);
        task.abort();
        proxy.disconnect_all();
        assert_eq!(result(open).await, CallResult::ExecutorTerminated);
        assert_eq!(second.started.get(), 0);
    }

    dropped_call_is_cancelled_at_the_executor {
        let handler = Rc::new(HoldingHandler::default());
        let (address, _task) = serve(1, handler.clone()).await;
        let link = client(address);
        let open = link.call(call("r1", true)).expect("room in the send queue");
        wait_until(|| handler.started.get() == 1).await;
        drop(open);
        wait_until(|| handler.calls.borrow()[0].2.is_cancelled()).await;
    }

    calls_of_a_disconnected_ingress_are_cancelled {
        let handler = Rc::new(HoldingHandler::default());
        let (address, _task) = serve(1, handler.clone()).await;
        let proxy = Proxy::start(address).await;
        let link = client(proxy.address);
        let _open = link.call(call("r1", true)).expect("room in the send queue");
        wait_until(|| handler.started.get() == 1).await;
        let (silent_listener, _) = listener().await;
        proxy.target.set(silent_listener.local_addr().expect("an address"));
        proxy.disconnect_all();
        wait_until(|| handler.calls.borrow()[0].2.is_cancelled()).await;
    }

    daemon_of_an_older_version_gets_crash_records {
        let (address, _) = serve(1, Rc::default()).await;
        let mut stream = TcpStream::connect(address).await.expect("the executor");
        let mut codec = FrameCodec::default();
        let mut bytes = BytesMut::new();
        let hello = Frame::Hello(Hello { session: SessionId(1), epoch: 1, open: Vec::new() });
        for frame in [hello, Frame::Ping] {
            let body = Bytes::new();
            codec.encode(Packet { frame, body }, &mut bytes).expect("an encoded frame");
        }
        stream.write_all(&bytes).await.expect("an open connection");
        bytes.clear();
        loop {
            match codec.decode(&mut bytes).expect("a frame").map(|packet| packet.frame) {
                Some(Frame::Report(_)) => break,
                Some(frame) => assert!(matches!(frame, Frame::Welcome(_)), "{frame:?}"),
                None => assert!(stream.read_buf(&mut bytes).await.expect("a response") > 0),
            }
        }
    }

    executor_that_answers_pings_is_reported_as_unresponsive {
        let handler = Rc::new(HoldingHandler::default());
        let (address, _task) = serve(1, handler.clone()).await;
        let (reports, unresponsive) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
        let link = LinkClient::start(address, count_events(&reports, &unresponsive), memory());
        let open = link.call(call("r1", true)).expect("room in the send queue");
        // The first report is in the handshake, and each further one answers a ping.
        wait_until(|| reports.get() == 3).await;
        handler.answer_next();
        assert!(matches!(result(open).await, CallResult::Replied(_)));
        assert_eq!(unresponsive.get(), 0);
    }

    executor_that_falls_silent_goes_unreported {
        let (listener, address) = listener().await;
        spawn_local(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let frame = Frame::Welcome(Welcome { run_id: 1, unknown: Vec::new(), site: site() });
            let mut bytes = BytesMut::new();
            let packet = Packet { frame, body: Bytes::new() };
            FrameCodec::default().encode(packet, &mut bytes).expect("an encoded frame");
            stream.write_all(&bytes).await.expect("an open connection");
            while stream.read_buf(&mut bytes).await.is_ok_and(|count| count > 0) {}
        });
        let (reports, unresponsive) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
        let link = LinkClient::start(address, count_events(&reports, &unresponsive), memory());
        let _open = link.call(call("r1", true)).expect("room in the send queue");
        wait_until(|| unresponsive.get() == 1).await;
    }

    restarted_executor_reports_without_a_call {
        let first = Rc::new(HoldingHandler::default());
        let (address, task) = serve(1, first.clone()).await;
        let proxy = Proxy::start(address).await;
        let reports = Rc::new(Cell::new(0));
        let count = reports.clone();
        let listener = move |_, event| {
            if matches!(event, LinkEvent::Report(_)) {
                count.set(count.get() + 1);
            }
        };
        let _link = LinkClient::start(proxy.address, Rc::new(listener), memory());
        wait_until(|| reports.get() == 1).await;
        let (address, _task) = serve(2, Rc::new(HoldingHandler::default())).await;
        proxy.target.set(address);
        task.abort();
        proxy.disconnect_all();
        wait_until(|| reports.get() == 2).await;
    }

    // Guards against a LOST response: a daemon's record was deleted while a call to it was running.
    closing_a_link_cuts_off_its_open_calls {
        let handler = Rc::new(HoldingHandler::default());
        let (address, _task) = serve(1, handler.clone()).await;
        let ended = Rc::new(Cell::new(false));
        let link = LinkClient::start(address, note_end(&ended), memory());
        let first = link.call(call_with_body("r1", 10)).expect("room in the send queue");
        wait_until(|| handler.started.get() == 1).await;
        let cancelled = link.call(call_with_body("r2", 10)).expect("room in the send queue");
        wait_until(|| handler.started.get() == 2).await;
        link.close();
        // A cancellation that arrives after the close shows that the connection is still served.
        drop(cancelled);
        wait_until(|| handler.calls.borrow()[1].2.is_cancelled()).await;
        handler.answer_next();
        let CallResult::Replied(_) = result(first).await else {
            panic!("no reply");
        };
        wait_until(|| ended.get()).await;
    }

    // Guards against links that stay open for calls that nobody waits for.
    closed_link_stays_open_after_its_last_call {
        let handler = Rc::new(HoldingHandler::default());
        let (address, _task) = serve(1, handler.clone()).await;
        let ended = Rc::new(Cell::new(false));
        let link = LinkClient::start(address, note_end(&ended), memory());
        let open = link.call(call_with_body("r1", 10)).expect("room in the send queue");
        wait_until(|| handler.started.get() == 1).await;
        link.close();
        drop(open);
        wait_until(|| ended.get()).await;
    }
}
