//! Takes the connections of other daemons.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use marigold_dispatch::SiteReport;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, timeout};
use tokio_util::codec::{Decoder, Encoder};
use tokio_util::sync::CancellationToken;

use super::client::join;
use super::frame_codec::Packet;
use super::session::Session;
use super::{
    Call, CallId, Follow, Frame, FrameCodec, Hello, ReplyHandle, SessionId, StoreUpdate, Welcome,
    set_socket_options,
};

/// How long a connection may take to say who it is.
const HELLO_TIMEOUT: Duration = Duration::from_secs(1);
/// How long the calls of an ingress go on without a connection to it.
const ORPHAN_TIME: Duration = Duration::from_millis(1_500);
/// How often sessions without a connection are looked at.
const SWEEP_TICK: Duration = Duration::from_millis(250);
/// How long a session without connection and calls is remembered.
const SESSION_TTL: Duration = Duration::from_secs(30);
/// How long sent bytes may stay unacknowledged.
const UNACKED: Duration = Duration::from_secs(5);
/// How long a daemon gets news of the store after it asked for them.
const FOLLOW_TIME: Duration = Duration::from_secs(3);
/// How long to wait after a failed accept, as when descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
const READ_ROOM: usize = 16 << 10;

/// Runs calls.
pub trait CallHandler {
    /// Starts a call; its outcome goes to `reply`, and `cancelled` tells that nobody waits for it.
    fn start(&self, call: Call, reply: ReplyHandle, cancelled: CancellationToken);

    /// Returns the state of the backend server.
    fn report(&self) -> SiteReport;
}

/// Exchanges the contents of the store with daemons that connect to this one.
pub trait StoreSync {
    /// Returns what a follower that sent `follow` does not have yet.
    fn updates_for(&self, follow: Follow) -> StoreUpdate;

    /// Returns the request to send to a daemon that connects, if this one has no configuration yet.
    fn request_on_connect(&self) -> Option<Follow>;

    /// Handles an update from a daemon that connected to this one.
    fn on_peer_update(&self, update: StoreUpdate);
}

/// The sessions of all ingresses with this executor.
pub struct LinkServer {
    run_id: u64,
    handler: Rc<dyn CallHandler>,
    store_sync: RefCell<Option<Rc<dyn StoreSync>>>,
    sessions: RefCell<HashMap<SessionId, Rc<Session>>>,
}

impl LinkServer {
    /// Builds the server of a daemon whose life is named `run_id`.
    #[must_use]
    pub fn new(run_id: u64, handler: Rc<dyn CallHandler>) -> Rc<Self> {
        Rc::new(Self {
            run_id,
            handler,
            store_sync: RefCell::default(),
            sessions: RefCell::new(HashMap::new()),
        })
    }

    /// Takes connections until the task is dropped.
    pub async fn listen(self: Rc<Self>, listener: TcpListener) {
        tokio::task::spawn_local(self.clone().sweep());
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::task::spawn_local(self.clone().connection(stream));
                }
                Err(error) => {
                    spdlog::warn!("accepting a daemon's connection failed: {error}");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Sets the handler of store updates.
    pub fn set_store_sync(&self, sync: Rc<dyn StoreSync>) {
        *self.store_sync.borrow_mut() = Some(sync);
    }

    /// Sends an update of the store to every daemon that follows this one; it is built only if there is
    /// one.
    pub fn notify_followers(&self, news: impl FnOnce() -> StoreUpdate) {
        let now = Instant::now();
        let sessions = self.sessions.borrow();
        let mut followers = sessions
            .values()
            .filter(|session| session.is_following(now));
        let Some(first) = followers.next() else {
            return;
        };
        let news = news();
        for session in followers {
            session.push_news(news.clone());
        }
        first.push_news(news);
    }

    /// Tells every ingress what has changed.
    pub fn broadcast_report(&self) {
        let site = self.handler.report();
        for session in self.sessions.borrow().values() {
            session.push_site(&site);
        }
    }

    async fn sweep(self: Rc<Self>) {
        loop {
            sleep(SWEEP_TICK).await;
            let now = Instant::now();
            self.sessions.borrow_mut().retain(|_, session| {
                let Some(since) = session.detached() else {
                    return true;
                };
                let alone = now.saturating_duration_since(since);
                if alone >= ORPHAN_TIME {
                    session.cancel_all();
                }
                alone < SESSION_TTL || session.is_running()
            });
        }
    }

    async fn connection(self: Rc<Self>, stream: TcpStream) {
        if let Err(error) = self.serve(stream).await {
            spdlog::debug!("a daemon's connection ended: {error}");
        }
    }

    async fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        set_socket_options(&stream, UNACKED)?;
        let mut codec = FrameCodec::default();
        let mut input = BytesMut::new();
        let hello = timeout(
            HELLO_TIMEOUT,
            read_hello(&mut stream, &mut codec, &mut input),
        )
        .await??;
        let epoch = hello.epoch;
        let session = self
            .sessions
            .borrow_mut()
            .entry(hello.session)
            .or_insert_with(|| Rc::new(Session::new(Instant::now())))
            .clone();
        let Some(unknown) = session.attach(&hello) else {
            return Ok(());
        };
        let welcome = Frame::Welcome(Welcome {
            run_id: self.run_id,
            unknown,
            site: self.handler.report(),
        });
        let mut out = BytesMut::new();
        let body = bytes::Bytes::new();
        let frame = welcome;
        codec.encode(Packet { frame, body }, &mut out)?;
        // A daemon that has just started may learn from those that come back to it, when the store is away.
        let question = self
            .store_sync
            .borrow()
            .as_ref()
            .and_then(|sync| sync.request_on_connect());
        if let Some(question) = question {
            session.push(Frame::Follow(question));
        }
        let (reader, writer) = stream.into_split();
        let result = tokio::select! {
            result = self.read(&session, epoch, reader, codec, input) => result,
            result = write(&session, epoch, writer, out) => result,
        };
        session.detach(epoch, Instant::now());
        result
    }

    async fn read(
        &self,
        session: &Rc<Session>,
        epoch: u32,
        mut reader: OwnedReadHalf,
        mut codec: FrameCodec,
        mut input: BytesMut,
    ) -> io::Result<()> {
        let mut parts = HashMap::<CallId, BytesMut>::new();
        loop {
            while let Some(Packet { frame, body }) = codec.decode(&mut input)? {
                // What an older connection still brings was declared lost when a newer one came.
                if !session.is_held_by(epoch) {
                    return Ok(());
                }
                match frame {
                    Frame::Call(mut call) => {
                        call.body = join(parts.remove(&call.id), body);
                        if let Some((reply, token)) =
                            session.open(call.id, call.floor, Instant::now())
                        {
                            self.handler.start(call, reply, token);
                        }
                    }
                    Frame::BodyPart(id) => parts.entry(id).or_default().extend_from_slice(&body),
                    Frame::Cancel(id) => {
                        parts.remove(&id);
                        session.cancel(id);
                    }
                    Frame::Follow(follow) => {
                        session.follow(Instant::now() + FOLLOW_TIME);
                        if let Some(sync) = &*self.store_sync.borrow() {
                            session.push_news(sync.updates_for(follow));
                        }
                    }
                    Frame::StoreUpdate(mut news) => {
                        news.delta = body;
                        if let Some(sync) = &*self.store_sync.borrow() {
                            sync.on_peer_update(*news);
                        }
                    }
                    Frame::Ping => session.push(Frame::Site(self.handler.report())),
                    _ => {}
                }
            }
            input.reserve(READ_ROOM);
            if reader.read_buf(&mut input).await? == 0 {
                return Ok(());
            }
        }
    }
}

async fn read_hello(
    stream: &mut TcpStream,
    codec: &mut FrameCodec,
    input: &mut BytesMut,
) -> io::Result<Hello> {
    loop {
        if let Some(packet) = codec.decode(input)? {
            return match packet.frame {
                Frame::Hello(hello) => Ok(hello),
                _ => Err(io::Error::other("the first message is no hello")),
            };
        }
        if stream.read_buf(input).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}

async fn write(
    session: &Session,
    epoch: u32,
    mut writer: OwnedWriteHalf,
    mut out: BytesMut,
) -> io::Result<()> {
    let mut codec = FrameCodec::default();
    loop {
        if !session.is_held_by(epoch) {
            return Ok(());
        }
        while let Some(packet) = session.pop() {
            codec.encode(packet, &mut out)?;
        }
        if !out.is_empty() {
            writer.write_all(&out).await?;
            out.clear();
        }
        let notified = session.work.notified();
        if !session.has_output() && session.is_held_by(epoch) {
            notified.await;
        }
    }
}
