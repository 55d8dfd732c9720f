//! The connection of a link: opening it, sending what is queued and receiving, until the link is closed.

use std::cell::Cell;
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use marigold_http::ResponseHead;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::time::{Instant, sleep, timeout};
use tokio_util::codec::{Decoder, Encoder};

use super::{LinkEvent, Shared};
use crate::Body;
use crate::link::frame::{CRASH_RECORDS_FEATURE, QUOTA_FEATURE};
use crate::link::frame_codec::Packet;
use crate::link::incoming_body::IncomingBody;
use crate::link::keepalive::{Keepalive, KeepaliveAction};
use crate::link::{
    CallId, CallOutcome, CallResult, Frame, FrameCodec, Hello, Reply, Welcome, set_socket_options,
};

/// Timeout for opening a connection, including the handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay after the first failed attempt to connect, doubled after each further one.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Limit on the delay between attempts to connect.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// The connection fails once sent bytes have been unacknowledged for this long.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(2);
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Connects and reconnects until the session is closed and its open calls have ended.
pub(super) async fn run(shared: Rc<Shared>) {
    let mut backoff = MIN_BACKOFF;
    // An executor that has not been reached yet, or whose connection has ended, is retried until it is
    // reached, even without calls. If its last report said that it accepts no calls, none would be sent to it,
    // and its recovery would go unnoticed.
    let mut is_down = true;
    while !shared.has_ended() {
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
    state.drop_unneeded();
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
            if !out.is_empty() {
                writer.write_all(&out).await?;
                out.clear();
            }
            if shared.has_ended() {
                return Ok(());
            }
            if shared.state.borrow().has_output() {
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
    let mut parts = HashMap::<CallId, IncomingBody>::new();
    let new_body = || IncomingBody::new(&shared.memory.budget);
    loop {
        while let Some(Packet { frame, body }) = codec.decode(&mut input)? {
            match frame {
                Frame::Reply(reply) => {
                    let incoming = parts.remove(&reply.id).unwrap_or_else(new_body);
                    let body = incoming.finish(&body).await;
                    handle_reply(&shared, reply, body);
                }
                Frame::BodyPart(id) => {
                    let incoming = parts.entry(id).or_insert_with(new_body);
                    incoming.push(&body).await;
                }
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

/// Resolves a call by its reply. A response without `body`, for which there was no memory, is lost.
fn handle_reply(shared: &Shared, mut reply: Reply, body: Option<Body>) {
    // Daemons of earlier versions pass on any status.
    if let CallOutcome::Answered { status, .. } = reply.outcome
        && ResponseHead::new(status, false).is_err()
    {
        reply.outcome = CallOutcome::Lost { broken: true };
    }
    if let Some(body) = body {
        reply.body = body;
        if let CallOutcome::Answered { fields, .. } = &mut reply.outcome {
            *fields = shared.memory.budget.hold_fields(std::mem::take(fields));
        }
    } else {
        metrics::counter!("marigold_replies_dropped_total").increment(1);
        reply.outcome = CallOutcome::Lost { broken: true };
    }
    (shared.listener)(shared.address, LinkEvent::Report(reply.site.clone()));
    let mut state = shared.state.borrow_mut();
    state
        .open_calls
        .resolve(reply.id, CallResult::Replied(Box::new(reply)));
    drop(state);
    if shared.closed.get() {
        shared.wake.notify_one();
    }
}
