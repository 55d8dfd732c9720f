//! The ingress's end of a session with one executor.

mod connection;

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use marigold_dispatch::quota::{QuotaAsk, QuotaGrant};
use marigold_dispatch::{SiteReport, VersionCounts};
use marigold_request::quarantine::CrashRecord;
use marigold_types::ServiceName;
use tokio::sync::{Notify, oneshot};
use tokio_util::codec::Encoder;

use super::frame_codec::{MAX_BODY_PART_BYTES, MAX_ENCODED_BYTES, Packet};
use super::open_calls::OpenCalls;
use super::{
    BodyHandover, Call, CallId, CallResult, Follow, Frame, FrameCodec, RolloutUpdate, SessionId,
    StoreUpdate,
};
use crate::{Body, MemoryBudget};

/// Limit on the bodies of small calls in the send queue, beyond which further ones are refused. Large bodies are bounded by
/// the memory of the process.
const MAX_QUEUED_BYTES: usize = 4 << 20;

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

/// Where a link keeps bodies.
#[derive(Debug, Clone)]
pub struct LinkMemory {
    /// The budget that replies count towards.
    pub budget: Rc<MemoryBudget>,
    /// Takes large bodies, if the executor is in this process.
    pub handover: Option<Rc<BodyHandover>>,
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
    /// Bytes of the bodies in `queue`.
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
    memory: LinkMemory,
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
    pub fn start(address: SocketAddr, listener: LinkListener, memory: LinkMemory) -> Self {
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
            memory,
        });
        tokio::task::spawn_local(connection::run(shared.clone()));
        Self { shared }
    }

    /// Queues a call and sets its `id` and `floor`.
    ///
    /// # Errors
    ///
    /// If the send queue is full.
    pub fn call(&self, mut call: Call) -> Result<OpenCall, SendQueueFull> {
        let mut state = self.shared.state.borrow_mut();
        let is_small = call.body.len() <= MAX_BODY_PART_BYTES;
        if is_small && state.queued_bytes + call.body.len() > MAX_QUEUED_BYTES {
            return Err(SendQueueFull);
        }
        let (id, result) = state.open_calls.open();
        call.id = id;
        call.floor = state.open_calls.floor();
        let mut body = std::mem::take(&mut call.body);
        if let (false, Some(handover)) = (is_small, &self.shared.memory.handover) {
            handover.put(self.shared.session, id, std::mem::take(&mut body));
        }
        state.push_call(call, &body);
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

    /// Ends the session once its open calls have ended: the executor may still be at work on them.
    pub fn close(&self) {
        self.shared.closed.set(true);
        self.shared.wake.notify_one();
    }
}

impl Shared {
    /// Returns whether the session is closed and has no open calls.
    fn has_ended(&self) -> bool {
        self.closed.get() && self.state.borrow().open_calls.is_empty()
    }

    /// Drops the body of a call that the executor of this process has not taken.
    fn take_handed_over(&self, id: CallId) {
        if let Some(handover) = &self.memory.handover {
            handover.take(self.session, id);
        }
    }
}

impl State {
    fn push(&mut self, packet: Packet) {
        self.queued_bytes += packet.body.len();
        self.queue.push_back(packet);
    }

    fn push_call(&mut self, call: Call, body: &Body) {
        if body.len() <= MAX_BODY_PART_BYTES {
            let (frame, body) = (Frame::Call(call), body.to_bytes());
            return self.push(Packet { frame, body });
        }
        let parts = body.parts(MAX_BODY_PART_BYTES).map(|part| Packet {
            frame: Frame::BodyPart(call.id),
            body: part,
        });
        self.bulk.extend(parts);
        let (frame, body) = (Frame::Call(call), Bytes::new());
        self.bulk.push_back(Packet { frame, body });
    }

    /// Drops the queued bodies of calls that are no longer open.
    fn drop_unneeded(&mut self) {
        let open_calls = &self.open_calls;
        let is_needed = |packet: &Packet| match &packet.frame {
            Frame::Call(call) => open_calls.is_open(call.id),
            Frame::BodyPart(id) => open_calls.is_open(*id),
            _ => true,
        };
        self.bulk.retain(is_needed);
        self.queue.retain(is_needed);
        self.queued_bytes = self.queue.iter().map(|packet| packet.body.len()).sum();
    }

    /// Returns whether packets are left that [`Self::encode`] has not encoded.
    fn has_output(&self) -> bool {
        !self.queue.is_empty() || !self.bulk.is_empty()
    }

    fn clear_queues(&mut self) {
        self.queue.clear();
        self.bulk.clear();
        self.queued_bytes = 0;
    }

    /// Encodes queued packets and one part of a large body, and discards those of calls that are no longer open.
    fn encode(&mut self, codec: &mut FrameCodec, out: &mut BytesMut) -> io::Result<()> {
        while out.len() < MAX_ENCODED_BYTES
            && let Some(packet) = self.queue.pop_front()
        {
            self.queued_bytes -= packet.body.len();
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
        self.shared.take_handed_over(self.id);
        result
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        if !self.is_open {
            return;
        }
        self.shared.take_handed_over(self.id);
        let mut state = self.shared.state.borrow_mut();
        if state.open_calls.abandon(self.id) {
            state.push(Packet {
                frame: Frame::Cancel(self.id),
                body: Bytes::new(),
            });
        }
        state.drop_unneeded();
        self.shared.wake.notify_one();
    }
}
