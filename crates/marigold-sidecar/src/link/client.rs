//! The ingress's end of a session with one executor.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use marigold_dispatch::quota::{QuotaAsk, QuotaGrant};
use marigold_dispatch::{SiteReport, VersionCounts};
use marigold_request::quarantine::CrashRecord;
use marigold_types::ServiceName;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep, timeout};
use tokio_util::codec::{Decoder, Encoder};

use super::frame::{CRASH_RECORDS_FEATURE, QUOTA_FEATURE};
use super::frame_codec::{MAX_BODY_PART_BYTES, Packet};
use super::keepalive::{Keepalive, KeepaliveAction};
use super::open_calls::OpenCalls;
use super::{
    Call, CallId, CallResult, Follow, Frame, FrameCodec, Hello, Reply, RolloutUpdate, SessionId,
    StoreUpdate, Welcome, set_socket_options,
};

/// Timeout for opening a connection, including the handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay after the first failed attempt to connect, doubled after each further one.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Limit on the delay between attempts to connect.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// The connection fails once sent bytes have been unacknowledged for this long.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(2);
/// Limit on the bodies in the send queue, beyond which calls are refused.
const MAX_QUEUED_BYTES: usize = 4 << 20;
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Called with the executor's address and each event of the link to it.
pub type LinkListener = Rc<dyn Fn(SocketAddr, LinkEvent)>;

/// State changes and messages of an executor other than replies.
#[derive(Debug, Clone)]
pub enum LinkEvent {
    /// The executor has reported its state.
    Report(SiteReport),
    /// It has not responded to a ping although calls are open.
    Unresponsive,
    /// A connection to it could not be opened.
    Unreachable,
    /// It has sent an update of the store.
    StoreUpdate(Box<StoreUpdate>),
    /// It has requested the contents of the store from this daemon.
    FollowRequest(Follow),
    /// It is connected.
    Connected,
    /// The connection to it has ended.
    Disconnected,
    /// It refused a connection, which proves that its process has ended.
    Terminated,
    /// It has answered an ask about quotas.
    QuotaGrant(QuotaGrant),
    /// It has sent records of crashes.
    CrashRecords(Vec<CrashRecord>),
    /// It has sent the roll-outs that it knows.
    Rollouts(RolloutUpdate),
    /// It has sent the counts of its backend server.
    VersionCounts(VersionCounts),
}

/// The send queue is full, so the call was not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendQueueFull;

struct State {
    open_calls: OpenCalls,
    queue: VecDeque<Packet>,
    /// Large bodies in parts, each followed by its call. Everything in `queue` goes first, so that they delay it by one part
    /// at most.
    bulk: VecDeque<Packet>,
    queued_bytes: usize,
    epoch: u32,
    /// Run of the executor's daemon, as of the last handshake.
    run_id: Option<u64>,
    /// Whether there is a connection to a daemon that understands [`Frame::QuotaAsk`].
    takes_quota_asks: bool,
}

struct Shared {
    address: SocketAddr,
    session: SessionId,
    state: RefCell<State>,
    wake: Notify,
    closed: Cell<bool>,
    listener: LinkListener,
}

/// Sends calls to one executor. The connection is opened at the start and again when it is needed.
#[derive(Clone)]
pub struct LinkClient {
    shared: Rc<Shared>,
}

impl LinkClient {
    /// Starts a session with the executor at `address`. The connection is handled by a task on the current
    /// local task set.
    #[must_use]
    pub fn start(address: SocketAddr, listener: LinkListener) -> Self {
        let shared = Rc::new(Shared {
            address,
            session: SessionId(rand::random()),
            state: RefCell::new(State {
                open_calls: OpenCalls::default(),
                queue: VecDeque::new(),
                bulk: VecDeque::new(),
                queued_bytes: 0,
                epoch: 0,
                run_id: None,
                takes_quota_asks: false,
            }),
            wake: Notify::new(),
            closed: Cell::new(false),
            listener,
        });
        tokio::task::spawn_local(run(shared.clone()));
        Self { shared }
    }

    /// Queues a call and sets its `id` and `floor`.
    ///
    /// # Errors
    ///
    /// If the send queue is full.
    pub fn call(&self, mut call: Call) -> Result<OpenCall, SendQueueFull> {
        let mut state = self.shared.state.borrow_mut();
        if state.queued_bytes + call.body.len() > MAX_QUEUED_BYTES {
            return Err(SendQueueFull);
        }
        let (id, result) = state.open_calls.open();
        call.id = id;
        call.floor = state.open_calls.floor();
        let body = std::mem::take(&mut call.body);
        state.push_call(call, body);
        drop(state);
        self.shared.wake.notify_one();
        Ok(OpenCall {
            shared: self.shared.clone(),
            id,
            result,
            is_open: true,
        })
    }

    /// Subscribes to updates of the store. The request is lost without a connection, so it must be repeated.
    pub fn follow(&self, follow: Follow) {
        self.shared.state.borrow_mut().push(Packet {
            frame: Frame::Follow(follow),
            body: Bytes::new(),
        });
        self.shared.wake.notify_one();
    }

    /// Sends an ask about quotas; returns whether the executor is connected and understands it. It is lost if the
    /// connection ends.
    #[must_use]
    pub fn ask_quota(&self, ask: QuotaAsk) -> bool {
        let mut state = self.shared.state.borrow_mut();
        if !state.takes_quota_asks {
            return false;
        }
        state.push(Packet {
            frame: Frame::QuotaAsk(ask),
            body: Bytes::new(),
        });
        drop(state);
        self.shared.wake.notify_one();
        true
    }

    /// Sends an update of the store to a daemon that has requested it.
    pub fn send_update(&self, mut update: StoreUpdate) {
        let body = std::mem::take(&mut update.delta);
        let frame = Frame::StoreUpdate(Box::new(update));
        self.shared.state.borrow_mut().push(Packet { frame, body });
        self.shared.wake.notify_one();
    }

    /// Requests the counts of the executor's backend server, if that implements `service`. The request is lost without a
    /// connection, so it must be repeated.
    pub fn request_counts(&self, service: ServiceName) {
        self.shared.state.borrow_mut().push(Packet {
            frame: Frame::CountsRequest(service),
            body: Bytes::new(),
        });
        self.shared.wake.notify_one();
    }

    /// Ends the session. Open calls that were sent end as [`CallResult::Unreachable`].
    pub fn close(&self) {
        self.shared.closed.set(true);
        self.shared.wake.notify_one();
    }
}

impl State {
    fn push(&mut self, packet: Packet) {
        self.queued_bytes += packet.body.len();
        self.queue.push_back(packet);
    }

    fn push_call(&mut self, call: Call, mut body: Bytes) {
        if body.len() <= MAX_BODY_PART_BYTES {
            let frame = Frame::Call(call);
            return self.push(Packet { frame, body });
        }
        self.queued_bytes += body.len();
        while body.len() > MAX_BODY_PART_BYTES {
            let part = body.split_to(MAX_BODY_PART_BYTES);
            self.bulk.push_back(Packet {
                frame: Frame::BodyPart(call.id),
                body: part,
            });
        }
        let frame = Frame::Call(call);
        self.bulk.push_back(Packet { frame, body });
    }

    fn clear_queues(&mut self) {
        self.queue.clear();
        self.bulk.clear();
        self.queued_bytes = 0;
    }

    /// Encodes the queued packets and one part of a large body, and discards those of calls that are no longer open.
    fn encode(&mut self, codec: &mut FrameCodec, out: &mut BytesMut) -> io::Result<()> {
        while let Some(packet) = self.queue.pop_front() {
            self.encode_needed(packet, codec, out)?;
        }
        while let Some(packet) = self.bulk.pop_front() {
            if self.encode_needed(packet, codec, out)? {
                break;
            }
        }
        Ok(())
    }

    /// Encodes a packet unless its call is no longer open; returns whether it was encoded.
    fn encode_needed(
        &mut self,
        packet: Packet,
        codec: &mut FrameCodec,
        out: &mut BytesMut,
    ) -> io::Result<bool> {
        self.queued_bytes -= packet.body.len();
        let is_needed = match &packet.frame {
            Frame::Call(call) => self.open_calls.mark_sent(call.id),
            Frame::BodyPart(id) => self.open_calls.mark_sent(*id),
            _ => true,
        };
        if is_needed {
            codec.encode(packet, out)?;
        }
        Ok(is_needed)
    }
}

/// A call without a result yet. Dropping it cancels the call.
pub struct OpenCall {
    shared: Rc<Shared>,
    id: CallId,
    result: oneshot::Receiver<CallResult>,
    is_open: bool,
}

impl OpenCall {
    /// Waits for the result of the call.
    pub async fn wait(mut self) -> CallResult {
        let result = (&mut self.result).await.unwrap_or(CallResult::Unreachable);
        self.is_open = false;
        result
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        if !self.is_open {
            return;
        }
        let mut state = self.shared.state.borrow_mut();
        if state.open_calls.abandon(self.id) {
            state.push(Packet {
                frame: Frame::Cancel(self.id),
                body: Bytes::new(),
            });
            self.shared.wake.notify_one();
        }
    }
}

/// Connects and reconnects until the session is closed.
async fn run(shared: Rc<Shared>) {
    let mut backoff = MIN_BACKOFF;
    // An executor that has not been reached yet, or whose connection has ended, is retried until it is
    // reached, even without calls. If its last report said that it accepts no calls, none would be sent to it,
    // and its recovery would go unnoticed.
    let mut is_down = true;
    while !shared.closed.get() {
        if shared.state.borrow().open_calls.is_empty() {
            shared.state.borrow_mut().clear_queues();
            if !is_down {
                shared.wake.notified().await;
                continue;
            }
        }
        match timeout(CONNECT_TIMEOUT, connect(&shared)).await {
            Ok(Ok((stream, input))) => {
                backoff = MIN_BACKOFF;
                is_down = true;
                if let Err(error) = serve(&shared, stream, input).await {
                    spdlog::debug!("connection to executor {} failed: {error}", shared.address);
                }
                shared.state.borrow_mut().takes_quota_asks = false;
                (shared.listener)(shared.address, LinkEvent::Disconnected);
                continue;
            }
            Ok(Err(error)) => {
                handle_connect_failure(&shared, error.kind() == io::ErrorKind::ConnectionRefused);
            }
            Err(_) => handle_connect_failure(&shared, false),
        }
        is_down = true;
        sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
    let mut state = shared.state.borrow_mut();
    state
        .open_calls
        .resolve_all(|sent| Some(closed_result(sent)));
}

fn closed_result(sent: bool) -> CallResult {
    if sent {
        CallResult::Unreachable
    } else {
        CallResult::NotSent
    }
}

/// Resolves calls after a failed attempt to connect.
///
/// A refused connection proves that the executor's process has terminated, so no outcome will come. After a
/// timeout the executor may still be running calls, and their outcomes are fetched after a reconnect.
fn handle_connect_failure(shared: &Shared, refused: bool) {
    let mut state = shared.state.borrow_mut();
    state.open_calls.resolve_all(|sent| match (sent, refused) {
        (false, _) => Some(CallResult::NotSent),
        (true, true) => Some(CallResult::ExecutorTerminated),
        (true, false) => None,
    });
    drop(state);
    if refused {
        (shared.listener)(shared.address, LinkEvent::Terminated);
    }
    (shared.listener)(shared.address, LinkEvent::Unreachable);
}

async fn connect(shared: &Shared) -> io::Result<(TcpStream, BytesMut)> {
    let mut stream = TcpStream::connect(shared.address).await?;
    set_socket_options(&stream, UNACKED_TIMEOUT)?;
    let hello = {
        let mut state = shared.state.borrow_mut();
        state.epoch += 1;
        Hello {
            session: shared.session,
            epoch: state.epoch,
            open: state.open_calls.sent_ids(),
        }
    };
    let mut codec = FrameCodec::default();
    let mut bytes = BytesMut::new();
    let frame = Frame::Hello(hello.clone());
    let body = Bytes::from_static(CRASH_RECORDS_FEATURE);
    codec.encode(Packet { frame, body }, &mut bytes)?;
    stream.write_all(&bytes).await?;
    bytes.clear();
    loop {
        if let Some(packet) = codec.decode(&mut bytes)? {
            let Frame::Welcome(welcome) = packet.frame else {
                return Err(io::Error::other(
                    "first frame of the connection is not a welcome",
                ));
            };
            shared.state.borrow_mut().takes_quota_asks = packet.body == QUOTA_FEATURE;
            handle_welcome(shared, &hello, welcome);
            return Ok((stream, bytes));
        }
        if stream.read_buf(&mut bytes).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}

fn handle_welcome(shared: &Shared, hello: &Hello, welcome: Welcome) {
    let mut state = shared.state.borrow_mut();
    let has_restarted = state.run_id.is_some_and(|run_id| run_id != welcome.run_id);
    state.run_id = Some(welcome.run_id);
    for id in &hello.open {
        if has_restarted {
            state
                .open_calls
                .resolve(*id, CallResult::ExecutorTerminated);
        } else if welcome.unknown.contains(id) {
            state.open_calls.resolve(*id, CallResult::NotSent);
        }
    }
    drop(state);
    (shared.listener)(shared.address, LinkEvent::Report(welcome.site));
    (shared.listener)(shared.address, LinkEvent::Connected);
}

async fn serve(shared: &Rc<Shared>, stream: TcpStream, input: BytesMut) -> io::Result<()> {
    let (reader, mut writer) = stream.into_split();
    let last_received = Rc::new(Cell::new(Instant::now()));
    let read = receive(shared.clone(), reader, input, last_received.clone());
    let write = async {
        let mut codec = FrameCodec::default();
        let mut out = BytesMut::new();
        let mut keepalive = Keepalive::default();
        loop {
            shared.state.borrow_mut().encode(&mut codec, &mut out)?;
            let is_waiting = shared.state.borrow().open_calls.has_sent();
            match keepalive.poll(is_waiting, last_received.get(), Instant::now()) {
                KeepaliveAction::Nothing => {}
                KeepaliveAction::Ping => encode_empty(&mut codec, Frame::Ping, &mut out)?,
                KeepaliveAction::Suspect => {
                    (shared.listener)(shared.address, LinkEvent::Unresponsive);
                }
                KeepaliveAction::Reconnect => return Err(io::ErrorKind::TimedOut.into()),
            }
            if shared.closed.get() {
                return Ok(());
            }
            if !out.is_empty() {
                writer.write_all(&out).await?;
                out.clear();
            }
            if !shared.state.borrow().bulk.is_empty() {
                continue;
            }
            match keepalive.wait(is_waiting) {
                Some(wait) => _ = timeout(wait, shared.wake.notified()).await,
                None => shared.wake.notified().await,
            }
        }
    };
    tokio::select! {
        result = read => result,
        result = write => result,
    }
}

fn encode_empty(codec: &mut FrameCodec, frame: Frame, out: &mut BytesMut) -> io::Result<()> {
    let body = Bytes::new();
    codec.encode(Packet { frame, body }, out)
}

async fn receive(
    shared: Rc<Shared>,
    mut reader: OwnedReadHalf,
    mut input: BytesMut,
    last_received: Rc<Cell<Instant>>,
) -> io::Result<()> {
    let mut codec = FrameCodec::default();
    let mut parts = std::collections::HashMap::<CallId, BytesMut>::new();
    loop {
        while let Some(Packet { frame, body }) = codec.decode(&mut input)? {
            match frame {
                Frame::Reply(reply) => {
                    let body = join_parts(parts.remove(&reply.id), body);
                    handle_reply(&shared, reply, body);
                }
                Frame::BodyPart(id) => parts.entry(id).or_default().extend_from_slice(&body),
                Frame::CrashRecords(records) => {
                    (shared.listener)(shared.address, LinkEvent::CrashRecords(records));
                }
                Frame::StoreUpdate(mut update) => {
                    update.delta = body;
                    (shared.listener)(shared.address, LinkEvent::StoreUpdate(update));
                }
                Frame::Rollouts(update) => {
                    (shared.listener)(shared.address, LinkEvent::Rollouts(update));
                }
                Frame::VersionCounts(counts) => {
                    (shared.listener)(shared.address, LinkEvent::VersionCounts(counts));
                }
                Frame::Follow(follow) => {
                    (shared.listener)(shared.address, LinkEvent::FollowRequest(follow));
                }
                Frame::QuotaGrant(grant) => {
                    (shared.listener)(shared.address, LinkEvent::QuotaGrant(grant));
                }
                Frame::Report(report) => {
                    (shared.listener)(shared.address, LinkEvent::Report(report));
                }
                _ => {}
            }
        }
        input.reserve(READ_BUFFER_BYTES);
        if reader.read_buf(&mut input).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        last_received.set(Instant::now());
    }
}

/// Joins the last part of a body to the parts received before it.
pub fn join_parts(earlier: Option<BytesMut>, last: Bytes) -> Bytes {
    match earlier {
        None => last,
        Some(mut body) => {
            body.extend_from_slice(&last);
            body.freeze()
        }
    }
}

fn handle_reply(shared: &Shared, mut reply: Reply, body: Bytes) {
    reply.body = body;
    (shared.listener)(shared.address, LinkEvent::Report(reply.site.clone()));
    let mut state = shared.state.borrow_mut();
    state
        .open_calls
        .resolve(reply.id, CallResult::Replied(Box::new(reply)));
}
