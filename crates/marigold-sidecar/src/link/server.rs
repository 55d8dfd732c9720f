//! Accepts connections from other daemons.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use marigold_dispatch::quota::{QuotaAsk, QuotaGrant};
use marigold_dispatch::{SiteReport, VersionCounts};
use marigold_request::RefusalReason;
use marigold_request::quarantine::CrashRecord;
use marigold_types::ServiceName;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, timeout};
use tokio_util::codec::{Decoder, Encoder};
use tokio_util::sync::CancellationToken;

use super::body_handover::BodyHandover;
use super::frame::{CRASH_RECORDS_FEATURE, QUOTA_FEATURE};
use super::frame_codec::{MAX_ENCODED_BYTES, Packet};
use super::incoming_body::IncomingBody;
use super::session::Session;
use super::{
    Call, CallId, CallOutcome, Follow, Frame, FrameCodec, Hello, Reply, ReplyHandle, RolloutUpdate,
    SessionId, StoreUpdate, Welcome, set_socket_options,
};
use crate::{Body, MemoryBudget, ShrinkableCache};

/// Timeout for the first frame of a connection.
const HELLO_TIMEOUT: Duration = Duration::from_secs(1);
/// Calls are cancelled once their ingress has been disconnected for this long.
const ORPHAN_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Interval at which sessions without a connection are checked.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// A session without a connection, running calls and awaited outcomes is removed after this time.
const SESSION_TTL: Duration = Duration::from_secs(30);
/// The connection fails once sent bytes have been unacknowledged for this long.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(5);
/// Lifetime of a follower's subscription to store updates.
const FOLLOW_TTL: Duration = Duration::from_secs(3);
/// Delay after a failed accept, for example when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Limit on the records in one frame, so that they do not delay other messages for long.
const MAX_CRASH_RECORDS: usize = 128;
/// Retry delay of a call whose body does not fit among the others.
const BODY_RETRY_DELAY: Duration = Duration::from_millis(100);
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Runs calls.
pub trait CallHandler {
    /// Starts a call. Its outcome must be sent through `reply`; `cancelled` is triggered when the outcome is
    /// no longer needed.
    fn start(&self, call: Call, reply: ReplyHandle, cancelled: CancellationToken);

    /// Returns the state of the executor.
    fn report(&self) -> SiteReport;

    /// Returns the counts of the backend server, if it implements `service` and its version is known.
    fn version_counts(&self, _service: &ServiceName) -> Option<VersionCounts> {
        None
    }

    /// Returns the records of crashes to send to a daemon that connects.
    fn crash_records(&self) -> Vec<CrashRecord> {
        Vec::new()
    }
}

/// Exchanges the contents of the store with daemons that connect to this one.
pub trait StoreSync {
    /// Returns what a follower that sent `follow` does not have yet.
    fn updates_for(&self, follow: Follow) -> StoreUpdate;

    /// Returns the request to send to a daemon that connects, if this one has no configuration yet.
    fn request_on_connect(&self) -> Option<Follow>;

    /// Returns the roll-outs to send to a follower: all of them, or none if all are decided.
    fn rollouts(&self, all: bool) -> Option<RolloutUpdate>;

    /// Handles an update from a daemon that connected to this one.
    fn on_peer_update(&self, update: StoreUpdate);
}

/// Answers asks about the quotas of workspaces.
pub trait QuotaHandler {
    /// Returns the answer, or `None` if the ask makes no sense.
    fn answer(&self, ask: &QuotaAsk) -> Option<QuotaGrant>;
}

/// Accepts connections from ingresses and keeps their sessions with this executor.
pub struct LinkServer {
    run_id: u64,
    handler: Rc<dyn CallHandler>,
    store_sync: RefCell<Option<Rc<dyn StoreSync>>>,
    quotas: RefCell<Option<Rc<dyn QuotaHandler>>>,
    sessions: RefCell<HashMap<SessionId, Rc<Session>>>,
    memory: RefCell<Rc<MemoryBudget>>,
    handover: Rc<BodyHandover>,
}

impl LinkServer {
    /// Creates a server. `run_id` distinguishes this run of the daemon from earlier ones at the same address.
    #[must_use]
    pub fn new(run_id: u64, handler: Rc<dyn CallHandler>) -> Rc<Self> {
        Rc::new(Self {
            run_id,
            handler,
            store_sync: RefCell::default(),
            quotas: RefCell::default(),
            sessions: RefCell::new(HashMap::new()),
            memory: RefCell::new(MemoryBudget::unlimited()),
            handover: Rc::default(),
        })
    }

    /// Accepts connections until the task is dropped.
    pub async fn listen(self: Rc<Self>, listener: TcpListener) {
        tokio::task::spawn_local(self.clone().expire_sessions());
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::task::spawn_local(self.clone().handle_connection(stream));
                }
                Err(error) => {
                    spdlog::warn!("failed to accept a connection from a daemon: {error}");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Sets the budget that calls and kept responses count towards.
    pub fn set_memory(self: &Rc<Self>, memory: &Rc<MemoryBudget>) {
        *self.memory.borrow_mut() = memory.clone();
        let server: Rc<dyn ShrinkableCache> = self.clone();
        memory.add_cache(Rc::downgrade(&server));
    }

    /// Returns where this daemon leaves large bodies of calls to itself.
    #[must_use]
    pub fn handover(&self) -> &Rc<BodyHandover> {
        &self.handover
    }

    /// Sets the handler of store updates.
    pub fn set_store_sync(&self, sync: Rc<dyn StoreSync>) {
        *self.store_sync.borrow_mut() = Some(sync);
    }

    /// Sets the handler of asks about quotas. Daemons that connect later are told that there is one.
    pub fn set_quotas(&self, quotas: Rc<dyn QuotaHandler>) {
        *self.quotas.borrow_mut() = Some(quotas);
    }

    /// Sends an update of the store to all followers; it is built only if there are any.
    pub fn notify_followers(&self, update: impl FnOnce() -> StoreUpdate) {
        let now = Instant::now();
        let sessions = self.sessions.borrow();
        let mut followers = sessions
            .values()
            .filter(|session| session.is_following(now));
        let Some(first) = followers.next() else {
            return;
        };
        let update = update();
        for session in followers {
            session.push_update(update.clone());
        }
        first.push_update(update);
    }

    /// Sends roll-outs to all followers.
    pub fn notify_rollouts(&self, update: &RolloutUpdate) {
        let now = Instant::now();
        for session in self.sessions.borrow().values() {
            if session.is_following(now) {
                session.push(Frame::Rollouts(update.clone()));
            }
        }
    }

    /// Sends the state of the executor to all connected ingresses.
    pub fn broadcast_report(&self) {
        let report = self.handler.report();
        for session in self.sessions.borrow().values() {
            session.push_report(&report);
        }
    }

    /// Sends records of crashes to all connected ingresses.
    pub fn broadcast_crash_records(&self, records: &[CrashRecord]) {
        for session in self.sessions.borrow().values() {
            push_crash_records(session, records);
        }
    }

    async fn expire_sessions(self: Rc<Self>) {
        loop {
            sleep(SWEEP_INTERVAL).await;
            let now = Instant::now();
            self.sessions.borrow_mut().retain(|_, session| {
                let has_outcomes = session.expire_outcomes(now);
                let Some(since) = session.detached_since() else {
                    return true;
                };
                let elapsed = now.saturating_duration_since(since);
                if elapsed >= ORPHAN_TIMEOUT {
                    session.cancel_all();
                }
                elapsed < SESSION_TTL || session.is_running() || has_outcomes
            });
        }
    }

    async fn handle_connection(self: Rc<Self>, stream: TcpStream) {
        if let Err(error) = self.serve(stream).await {
            spdlog::debug!("connection from a daemon failed: {error}");
        }
    }

    async fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        set_socket_options(&stream, UNACKED_TIMEOUT)?;
        let mut codec = FrameCodec::default();
        let mut input = BytesMut::new();
        let (hello, takes_crash_records) = timeout(
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
        let Some(unknown) = session.attach(&hello, takes_crash_records) else {
            return Ok(());
        };
        let welcome = Frame::Welcome(Welcome {
            run_id: self.run_id,
            unknown,
            site: self.handler.report(),
        });
        let mut out = BytesMut::new();
        let has_quotas = self.quotas.borrow().is_some();
        let features: &[u8] = if has_quotas { QUOTA_FEATURE } else { &[] };
        let body = Bytes::from_static(features);
        let frame = welcome;
        codec.encode(Packet { frame, body }, &mut out)?;
        // While the store is unavailable, a restarted daemon can obtain the configuration from daemons that
        // reconnect to it.
        let request = self
            .store_sync
            .borrow()
            .as_ref()
            .and_then(|sync| sync.request_on_connect());
        if let Some(request) = request {
            session.push(Frame::Follow(request));
        }
        push_crash_records(&session, &self.handler.crash_records());
        let (reader, writer) = stream.into_split();
        let result = tokio::select! {
            result = self.read(&session, &hello, reader, codec, input) => result,
            result = write(&session, epoch, writer, out) => result,
        };
        session.detach(epoch, Instant::now());
        result
    }

    async fn read(
        &self,
        session: &Rc<Session>,
        hello: &Hello,
        mut reader: OwnedReadHalf,
        mut codec: FrameCodec,
        mut input: BytesMut,
    ) -> io::Result<()> {
        let mut parts = HashMap::<CallId, IncomingBody>::new();
        loop {
            while let Some(Packet { frame, body }) = codec.decode(&mut input)? {
                // Calls that had not been received when a newer connection was opened have been reported as
                // unknown, so they must not run.
                if !session.is_current(hello.epoch) {
                    return Ok(());
                }
                match frame {
                    Frame::Call(call) => {
                        let incoming = parts.remove(&call.id);
                        let handed_over = self.handover.take(hello.session, call.id);
                        let body = if handed_over.is_some() {
                            handed_over
                        } else {
                            let incoming = incoming.unwrap_or_else(|| self.new_body());
                            incoming.finish(&body).await
                        };
                        // The connection may have been replaced during the wait for memory.
                        if !session.is_current(hello.epoch) {
                            return Ok(());
                        }
                        self.start_call(session, call, body);
                    }
                    Frame::BodyPart(id) => {
                        let incoming = parts.entry(id).or_insert_with(|| self.new_body());
                        incoming.push(&body).await;
                    }
                    Frame::Cancel(id) => {
                        parts.remove(&id);
                        session.cancel(id);
                    }
                    Frame::Follow(follow) => {
                        session.follow(Instant::now() + FOLLOW_TTL);
                        if let Some(sync) = &*self.store_sync.borrow() {
                            session.push_update(sync.updates_for(follow));
                            if let Some(update) = sync.rollouts(follow.all_sites) {
                                session.push(Frame::Rollouts(update));
                            }
                        }
                    }
                    Frame::StoreUpdate(mut update) => {
                        update.delta = body;
                        if let Some(sync) = &*self.store_sync.borrow() {
                            sync.on_peer_update(*update);
                        }
                    }
                    Frame::CountsRequest(service) => {
                        if let Some(counts) = self.handler.version_counts(&service) {
                            session.push(Frame::VersionCounts(counts));
                        }
                    }
                    Frame::QuotaAsk(ask) => {
                        let quotas = self.quotas.borrow().clone();
                        if let Some(grant) = quotas.and_then(|quotas| quotas.answer(&ask)) {
                            session.push(Frame::QuotaGrant(grant));
                        }
                    }
                    Frame::Ping => session.push(Frame::Report(self.handler.report())),
                    _ => {}
                }
            }
            input.reserve(READ_BUFFER_BYTES);
            if reader.read_buf(&mut input).await? == 0 {
                return Ok(());
            }
        }
    }
}

impl LinkServer {
    fn new_body(&self) -> IncomingBody {
        IncomingBody::new(&self.memory.borrow())
    }

    /// Starts a call with its body, or refuses it if the body did not fit in the budget.
    fn start_call(&self, session: &Rc<Session>, mut call: Call, body: Option<Body>) {
        let Some((reply, token)) = session.open(call.id, call.floor, call.timeout, Instant::now())
        else {
            return;
        };
        if let Some(body) = body {
            call.body = body;
            call.fields = self.memory.borrow().hold_fields(call.fields);
            self.handler.start(call, reply, token);
            return;
        }
        metrics::counter!("marigold_executor_bodies_refused_total").increment(1);
        reply.send(Reply {
            id: call.id,
            outcome: CallOutcome::Refused {
                reason: RefusalReason::Overloaded,
                retry_after: BODY_RETRY_DELAY,
            },
            waited: Duration::ZERO,
            ran: Duration::ZERO,
            site: self.handler.report(),
            body: Body::default(),
        });
    }
}

impl ShrinkableCache for LinkServer {
    fn shrink(&self) -> bool {
        let mut has_shrunk = false;
        for session in self.sessions.borrow().values() {
            has_shrunk |= session.drop_kept_bodies();
        }
        has_shrunk
    }
}

fn push_crash_records(session: &Session, records: &[CrashRecord]) {
    if !session.takes_crash_records() {
        return;
    }
    for part in records.chunks(MAX_CRASH_RECORDS) {
        session.push(Frame::CrashRecords(part.to_vec()));
    }
}

/// Reads the first frame, and whether the daemon that connects understands [`Frame::CrashRecords`].
async fn read_hello(
    stream: &mut TcpStream,
    codec: &mut FrameCodec,
    input: &mut BytesMut,
) -> io::Result<(Hello, bool)> {
    loop {
        if let Some(packet) = codec.decode(input)? {
            return match packet.frame {
                Frame::Hello(hello) => Ok((hello, packet.body == CRASH_RECORDS_FEATURE)),
                _ => Err(io::Error::other(
                    "first frame of the connection is not a hello",
                )),
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
        if !session.is_current(epoch) {
            return Ok(());
        }
        while out.len() < MAX_ENCODED_BYTES
            && let Some(packet) = session.pop()
        {
            codec.encode(packet, &mut out)?;
        }
        if !out.is_empty() {
            writer.write_all(&out).await?;
            out.clear();
        }
        let notified = session.wake.notified();
        if !session.has_output() && session.is_current(epoch) {
            notified.await;
        }
    }
}
