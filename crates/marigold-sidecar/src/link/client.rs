//! The ingress's end of a session with one executor.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use marigold_dispatch::SiteReport;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep, timeout};
use tokio_util::codec::{Decoder, Encoder};

use super::frame_codec::{MAX_PART, Packet};
use super::pending::Pending;
use super::{
    Call, CallId, CallResult, Follow, Frame, FrameCodec, Hello, Reply, SessionId, StoreUpdate,
    Welcome, set_socket_options,
};

/// How long a connection may take to open and be welcomed.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long an executor with open calls may be silent before it is asked for a sign of life.
const SILENCE: Duration = Duration::from_millis(300);
/// How long it may take to give that sign before another connection is opened.
const PING_TIMEOUT: Duration = Duration::from_millis(400);
/// The wait between two attempts to connect, at first and at most.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// How long sent bytes may stay unacknowledged.
const UNACKED: Duration = Duration::from_secs(2);
/// The bytes that may wait to be written; calls beyond that are refused.
const MAX_QUEUED: usize = 4 << 20;
const READ_ROOM: usize = 16 << 10;

/// Tells the owner of a link what its executor says of itself.
pub type SiteListener = Rc<dyn Fn(SocketAddr, LinkEvent)>;

/// News of an executor.
#[derive(Debug, Clone)]
pub enum LinkEvent {
    /// What it said of itself.
    Report(SiteReport),
    /// It is silent while an answer is due.
    Unresponsive,
    /// It cannot be reached.
    Unreachable,
    /// What it knows of the store.
    StoreUpdate(Box<StoreUpdate>),
    /// It asks what this daemon knows of the store.
    FollowRequest(Follow),
}

/// A call could not be queued, since too much waits to be written already.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendQueueFull;

struct State {
    pending: Pending,
    queue: VecDeque<Packet>,
    queued: usize,
    epoch: u32,
    life: Option<u64>,
}

struct Shared {
    address: SocketAddr,
    session: SessionId,
    state: RefCell<State>,
    work: Notify,
    closed: Cell<bool>,
    listener: SiteListener,
}

/// Sends calls to one executor over a connection that is opened when it is needed.
#[derive(Clone)]
pub struct LinkClient {
    shared: Rc<Shared>,
}

impl LinkClient {
    /// Starts the session with the executor at `address`, on the current local task set.
    #[must_use]
    pub fn start(address: SocketAddr, listener: SiteListener) -> Self {
        let shared = Rc::new(Shared {
            address,
            session: SessionId(rand::random()),
            state: RefCell::new(State {
                pending: Pending::default(),
                queue: VecDeque::new(),
                queued: 0,
                epoch: 0,
                life: None,
            }),
            work: Notify::new(),
            closed: Cell::new(false),
            listener,
        });
        tokio::task::spawn_local(run(shared.clone()));
        Self { shared }
    }

    /// Sends a call; its id and floor are set here.
    ///
    /// # Errors
    ///
    /// When too much waits to be written.
    pub fn call(&self, mut call: Call) -> Result<OpenCall, SendQueueFull> {
        let mut state = self.shared.state.borrow_mut();
        if state.queued + call.body.len() > MAX_QUEUED {
            return Err(SendQueueFull);
        }
        let (id, ending) = state.pending.open();
        call.id = id;
        call.floor = state.pending.floor();
        let body = std::mem::take(&mut call.body);
        let last = state.push_parts(id, body);
        state.push(Packet {
            frame: Frame::Call(call),
            body: last,
        });
        drop(state);
        self.shared.work.notify_one();
        Ok(OpenCall {
            shared: self.shared.clone(),
            id,
            ending,
            is_open: true,
        })
    }

    /// Asks for news of the store; it is lost if there is no connection, so it is asked for again.
    pub fn follow(&self, follow: Follow) {
        self.shared.state.borrow_mut().push(Packet {
            frame: Frame::Follow(follow),
            body: Bytes::new(),
        });
        self.shared.work.notify_one();
    }

    /// Tells what this daemon knows of the store, to one that has asked.
    pub fn send_update(&self, mut news: StoreUpdate) {
        let body = std::mem::take(&mut news.delta);
        let frame = Frame::StoreUpdate(Box::new(news));
        self.shared.state.borrow_mut().push(Packet { frame, body });
        self.shared.work.notify_one();
    }

    /// Ends the session; open calls end as unreachable.
    pub fn close(&self) {
        self.shared.closed.set(true);
        self.shared.work.notify_one();
    }
}

impl State {
    fn push(&mut self, packet: Packet) {
        self.queued += packet.body.len();
        self.queue.push_back(packet);
    }

    /// Queues all parts of a body but the last one, which is returned.
    fn push_parts(&mut self, id: CallId, mut body: Bytes) -> Bytes {
        while body.len() > MAX_PART {
            let part = body.split_to(MAX_PART);
            self.push(Packet {
                frame: Frame::BodyPart(id),
                body: part,
            });
        }
        body
    }

    /// Encodes what waits, leaving out what nobody waits for any more.
    fn encode(&mut self, codec: &mut FrameCodec, out: &mut BytesMut) -> io::Result<()> {
        while let Some(packet) = self.queue.pop_front() {
            self.queued -= packet.body.len();
            let is_wanted = match &packet.frame {
                Frame::Call(call) => self.pending.sent(call.id),
                Frame::BodyPart(id) => self.pending.sent(*id),
                _ => true,
            };
            if is_wanted {
                codec.encode(packet, out)?;
            }
        }
        Ok(())
    }
}

/// A call whose end is waited for; dropping it cancels the call.
pub struct OpenCall {
    shared: Rc<Shared>,
    id: CallId,
    ending: oneshot::Receiver<CallResult>,
    is_open: bool,
}

impl OpenCall {
    /// Waits for the end of the call.
    pub async fn wait(mut self) -> CallResult {
        let ending = (&mut self.ending).await.unwrap_or(CallResult::Unreachable);
        self.is_open = false;
        ending
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        if !self.is_open {
            return;
        }
        let mut state = self.shared.state.borrow_mut();
        if state.pending.abandon(self.id) {
            state.push(Packet {
                frame: Frame::Cancel(self.id),
                body: Bytes::new(),
            });
            self.shared.work.notify_one();
        }
    }
}

/// Keeps a connection while there is work for it.
async fn run(shared: Rc<Shared>) {
    let mut backoff = MIN_BACKOFF;
    // An executor that was not reached yet, or whose connection has ended, is tried until it is reached:
    // what it said last may be that it takes no calls, so that no call would ever find out.
    let mut is_down = true;
    while !shared.closed.get() {
        if shared.state.borrow().pending.is_empty() {
            shared.state.borrow_mut().queue.clear();
            shared.state.borrow_mut().queued = 0;
            if !is_down {
                shared.work.notified().await;
                continue;
            }
        }
        match timeout(CONNECT_TIMEOUT, open(&shared)).await {
            Ok(Ok((stream, input))) => {
                backoff = MIN_BACKOFF;
                is_down = true;
                if let Err(error) = serve(&shared, stream, input).await {
                    spdlog::debug!("link to {} broke: {error}", shared.address);
                }
                continue;
            }
            Ok(Err(error)) => fail(&shared, error.kind() == io::ErrorKind::ConnectionRefused),
            Err(_) => fail(&shared, false),
        }
        is_down = true;
        sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
    let mut state = shared.state.borrow_mut();
    state.pending.end_all(|sent| Some(lost(sent)));
}

fn lost(sent: bool) -> CallResult {
    if sent {
        CallResult::Unreachable
    } else {
        CallResult::NotSent
    }
}

/// Ends the calls that need not wait for a connection that could not be opened.
///
/// A refused connection proves that the executor's process has ended, so no outcome will come. After
/// a time-out the executor may still be at work, and its outcomes are fetched when it is reached again.
fn fail(shared: &Shared, refused: bool) {
    let mut state = shared.state.borrow_mut();
    state.pending.end_all(|sent| match (sent, refused) {
        (false, _) => Some(CallResult::NotSent),
        (true, true) => Some(CallResult::ExecutorTerminated),
        (true, false) => None,
    });
    drop(state);
    (shared.listener)(shared.address, LinkEvent::Unreachable);
}

async fn open(shared: &Shared) -> io::Result<(TcpStream, BytesMut)> {
    let mut stream = TcpStream::connect(shared.address).await?;
    set_socket_options(&stream, UNACKED)?;
    let hello = {
        let mut state = shared.state.borrow_mut();
        state.epoch += 1;
        Hello {
            session: shared.session,
            epoch: state.epoch,
            open: state.pending.sent_ids(),
        }
    };
    let mut codec = FrameCodec::default();
    let mut bytes = BytesMut::new();
    let frame = Frame::Hello(hello.clone());
    let body = Bytes::new();
    codec.encode(Packet { frame, body }, &mut bytes)?;
    stream.write_all(&bytes).await?;
    bytes.clear();
    loop {
        if let Some(packet) = codec.decode(&mut bytes)? {
            let Frame::Welcome(welcome) = packet.frame else {
                return Err(io::Error::other("the first message is no welcome"));
            };
            welcomed(shared, &hello, welcome);
            return Ok((stream, bytes));
        }
        if stream.read_buf(&mut bytes).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}

fn welcomed(shared: &Shared, hello: &Hello, welcome: Welcome) {
    let mut state = shared.state.borrow_mut();
    let is_other = state.life.is_some_and(|life| life != welcome.run_id);
    state.life = Some(welcome.run_id);
    for id in &hello.open {
        if is_other {
            state.pending.end(*id, CallResult::ExecutorTerminated);
        } else if welcome.unknown.contains(id) {
            state.pending.end(*id, CallResult::NotSent);
        }
    }
    drop(state);
    (shared.listener)(shared.address, LinkEvent::Report(welcome.site));
}

async fn serve(shared: &Rc<Shared>, stream: TcpStream, input: BytesMut) -> io::Result<()> {
    let (reader, mut writer) = stream.into_split();
    let heard = Rc::new(Cell::new(Instant::now()));
    let read = receive(shared.clone(), reader, input, heard.clone());
    let write = async {
        let mut codec = FrameCodec::default();
        let mut out = BytesMut::new();
        let mut pinged: Option<Instant> = None;
        loop {
            shared.state.borrow_mut().encode(&mut codec, &mut out)?;
            let now = Instant::now();
            let waits = shared.state.borrow().pending.has_sent();
            if pinged.is_some_and(|at| heard.get() > at) {
                pinged = None;
            }
            let is_silent = now.saturating_duration_since(heard.get()) >= SILENCE;
            if waits && is_silent && pinged.is_none() {
                encode_empty(&mut codec, Frame::Ping, &mut out)?;
                pinged = Some(now);
                // No further call goes there until the sign of life has come.
                (shared.listener)(shared.address, LinkEvent::Unresponsive);
            }
            if pinged.is_some_and(|at| now.saturating_duration_since(at) >= PING_TIMEOUT) {
                return Err(io::ErrorKind::TimedOut.into());
            }
            if shared.closed.get() {
                return Ok(());
            }
            if !out.is_empty() {
                writer.write_all(&out).await?;
                out.clear();
            }
            let pause = if pinged.is_some() {
                PING_TIMEOUT
            } else {
                SILENCE
            };
            // Without open calls nobody minds the silence.
            if waits {
                timeout(pause, shared.work.notified()).await.ok();
            } else {
                shared.work.notified().await;
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
    heard: Rc<Cell<Instant>>,
) -> io::Result<()> {
    let mut codec = FrameCodec::default();
    let mut parts = std::collections::HashMap::<CallId, BytesMut>::new();
    loop {
        while let Some(Packet { frame, body }) = codec.decode(&mut input)? {
            match frame {
                Frame::Reply(reply) => {
                    let body = join(parts.remove(&reply.id), body);
                    replied(&shared, reply, body);
                }
                Frame::BodyPart(id) => parts.entry(id).or_default().extend_from_slice(&body),
                Frame::StoreUpdate(mut news) => {
                    news.delta = body;
                    (shared.listener)(shared.address, LinkEvent::StoreUpdate(news));
                }
                Frame::Follow(follow) => {
                    (shared.listener)(shared.address, LinkEvent::FollowRequest(follow));
                }
                Frame::Site(site) => (shared.listener)(shared.address, LinkEvent::Report(site)),
                _ => {}
            }
        }
        input.reserve(READ_ROOM);
        if reader.read_buf(&mut input).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        heard.set(Instant::now());
    }
}

/// Puts the last part of a body behind those that came before.
pub fn join(before: Option<BytesMut>, last: Bytes) -> Bytes {
    match before {
        None => last,
        Some(mut whole) => {
            whole.extend_from_slice(&last);
            whole.freeze()
        }
    }
}

fn replied(shared: &Shared, mut reply: Reply, body: Bytes) {
    reply.body = body;
    (shared.listener)(shared.address, LinkEvent::Report(reply.site.clone()));
    let mut state = shared.state.borrow_mut();
    state
        .pending
        .end(reply.id, CallResult::Replied(Box::new(reply)));
}
