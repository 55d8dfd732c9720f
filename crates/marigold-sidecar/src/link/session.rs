//! State of a session at the executor.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::{Rc, Weak};
use std::time::Duration;

use bytes::Bytes;
use marigold_dispatch::SiteReport;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::frame_codec::{MAX_BODY_PART_BYTES, Packet};
use super::{CallId, CallOutcome, Frame, Hello, Reply, StoreUpdate};
use crate::Body;

/// Responses are kept for this long, since the ingress may not have received them. That they were given is known for
/// longer: see [`Ended::until`].
const RESPONSE_TTL: Duration = Duration::from_secs(10);
/// Limit on the response bodies kept in one session. The oldest responses are dropped first.
const MAX_KEPT_BODY_BYTES: usize = 1 << 20;
/// Time after the deadline of a call for which its outcome is known, for calls that were delayed on their way.
const OUTCOME_MARGIN: Duration = Duration::from_secs(1);

struct Running {
    token: CancellationToken,
    deadline: Instant,
}

struct Ended {
    reply: Reply,
    /// When the ingress no longer waits for the outcome. Until then a call without one would pass for a call that was never
    /// received, which the ingress may send elsewhere.
    until: Instant,
}

/// Running and ended calls of one ingress, and the queue of messages to it.
pub struct Session {
    state: RefCell<State>,
    pub(super) wake: Notify,
}

struct State {
    epoch: u32,
    running: BTreeMap<CallId, Running>,
    ended: BTreeMap<CallId, Ended>,
    /// The ended calls whose responses are kept, in the order of their ends.
    responses: VecDeque<(CallId, Instant)>,
    kept_body_bytes: usize,
    queue: VecDeque<Packet>,
    /// Since when the session has had no connection, if it has none.
    detached_since: Option<Instant>,
    /// When the ingress's subscription to store updates expires, if it has one.
    follows_until: Option<Instant>,
    /// Whether the ingress understands [`Frame::CrashRecords`].
    takes_crash_records: bool,
}

impl Session {
    /// Creates a session without calls and without a connection.
    pub fn new(now: Instant) -> Self {
        Self {
            state: RefCell::new(State {
                epoch: 0,
                running: BTreeMap::new(),
                ended: BTreeMap::new(),
                responses: VecDeque::new(),
                kept_body_bytes: 0,
                queue: VecDeque::new(),
                detached_since: Some(now),
                follows_until: None,
                takes_crash_records: false,
            }),
            wake: Notify::new(),
        }
    }

    /// Assigns the session to a new connection. Returns the open calls of `hello` that were never received, or
    /// `None` if a newer connection already has the session.
    pub fn attach(&self, hello: &Hello, takes_crash_records: bool) -> Option<Vec<CallId>> {
        let mut state = self.state.borrow_mut();
        if hello.epoch <= state.epoch {
            return None;
        }
        state.epoch = hello.epoch;
        state.detached_since = None;
        state.takes_crash_records = takes_crash_records;
        state.queue.clear();
        let mut unknown = Vec::new();
        for id in &hello.open {
            if state.running.contains_key(id) {
                continue;
            }
            match state.ended.get(id).map(|ended| ended.reply.clone()) {
                Some(reply) => state.send(reply),
                None => unknown.push(*id),
            }
        }
        drop(state);
        // Wakes the previous connection, which then ends.
        self.wake.notify_waiters();
        Some(unknown)
    }

    /// Returns whether the connection with number `epoch` is the newest of the session.
    pub fn is_current(&self, epoch: u32) -> bool {
        self.state.borrow().epoch == epoch
    }

    /// Records that the connection with number `epoch` has ended.
    pub fn detach(&self, epoch: u32, now: Instant) {
        let mut state = self.state.borrow_mut();
        if state.epoch == epoch {
            state.detached_since = Some(now);
        }
    }

    /// Returns since when the session has had no connection, or `None` if it has one.
    pub fn detached_since(&self) -> Option<Instant> {
        self.state.borrow().detached_since
    }

    /// Returns whether any call is running.
    pub fn is_running(&self) -> bool {
        !self.state.borrow().running.is_empty()
    }

    /// Removes the outcomes that no ingress waits for any more; returns whether any are left.
    pub fn expire_outcomes(&self, now: Instant) -> bool {
        let mut state = self.state.borrow_mut();
        state.drop_responses(now);
        let State {
            ended,
            kept_body_bytes,
            ..
        } = &mut *state;
        ended.retain(|_, ended| {
            let is_awaited = ended.until > now;
            if !is_awaited {
                *kept_body_bytes -= ended.reply.body.len();
            }
            is_awaited
        });
        !ended.is_empty()
    }

    /// Drops the bodies of kept responses while the session has a connection, which most likely delivers them; returns
    /// whether there were any.
    pub fn drop_kept_bodies(&self) -> bool {
        let mut state = self.state.borrow_mut();
        if state.detached_since.is_some() || state.kept_body_bytes == 0 {
            return false;
        }
        let responses = std::mem::take(&mut state.responses);
        for (id, _) in responses {
            state.drop_response(id);
        }
        true
    }

    /// Registers a call as running, or returns `None` if it was registered before. `timeout` is how long its ingress waits.
    /// Outcomes of calls below `floor` are dropped.
    pub fn open(
        self: &Rc<Self>,
        id: CallId,
        floor: CallId,
        timeout: Duration,
        now: Instant,
    ) -> Option<(ReplyHandle, CancellationToken)> {
        let mut state = self.state.borrow_mut();
        state.drop_received(floor);
        state.drop_responses(now);
        if state.running.contains_key(&id) || state.ended.contains_key(&id) {
            return None;
        }
        let token = CancellationToken::new();
        let running = Running {
            token: token.clone(),
            deadline: now + timeout,
        };
        state.running.insert(id, running);
        let handle = ReplyHandle {
            id,
            session: Rc::downgrade(self),
        };
        Some((handle, token))
    }

    /// Cancels a call, if it is running.
    pub fn cancel(&self, id: CallId) {
        if let Some(call) = self.state.borrow().running.get(&id) {
            call.token.cancel();
        }
    }

    /// Cancels all running calls.
    pub fn cancel_all(&self) {
        for call in self.state.borrow().running.values() {
            call.token.cancel();
        }
    }

    /// Queues a frame without a body.
    pub fn push(&self, frame: Frame) {
        let body = Bytes::new();
        self.state
            .borrow_mut()
            .queue
            .push_back(Packet { frame, body });
        self.wake.notify_waiters();
    }

    /// Queues a report of the executor's state, if the session has a connection.
    pub fn push_report(&self, report: &SiteReport) {
        if self.detached_since().is_none() {
            self.push(Frame::Report(report.clone()));
        }
    }

    /// Subscribes the ingress to store updates, until `until`.
    pub fn follow(&self, until: Instant) {
        self.state.borrow_mut().follows_until = Some(until);
    }

    /// Returns whether the ingress is connected and subscribed to store updates.
    pub fn is_following(&self, now: Instant) -> bool {
        let state = self.state.borrow();
        state.detached_since.is_none() && state.follows_until.is_some_and(|until| until > now)
    }

    /// Returns whether the ingress is connected and understands [`Frame::CrashRecords`].
    pub fn takes_crash_records(&self) -> bool {
        let state = self.state.borrow();
        state.detached_since.is_none() && state.takes_crash_records
    }

    /// Queues an update of the store.
    pub fn push_update(&self, mut update: StoreUpdate) {
        let body = std::mem::take(&mut update.delta);
        let frame = Frame::StoreUpdate(Box::new(update));
        self.state
            .borrow_mut()
            .queue
            .push_back(Packet { frame, body });
        self.wake.notify_waiters();
    }

    /// Removes the next packet from the queue.
    pub fn pop(&self) -> Option<Packet> {
        self.state.borrow_mut().queue.pop_front()
    }

    /// Returns whether the queue is not empty.
    pub fn has_output(&self) -> bool {
        !self.state.borrow().queue.is_empty()
    }

    fn end_call(&self, reply: Reply) {
        let mut state = self.state.borrow_mut();
        let now = Instant::now();
        let deadline = state.running.remove(&reply.id).map(|call| call.deadline);
        state.kept_body_bytes += reply.body.len();
        let ended = Ended {
            reply: reply.clone(),
            until: deadline.unwrap_or(now).max(now) + OUTCOME_MARGIN,
        };
        state.ended.insert(reply.id, ended);
        state.responses.push_back((reply.id, now));
        state.drop_responses(now);
        if state.detached_since.is_none() {
            state.send(reply);
        }
        drop(state);
        self.wake.notify_waiters();
    }
}

impl State {
    fn send(&mut self, mut reply: Reply) {
        let body = std::mem::take(&mut reply.body);
        let mut last = Bytes::new();
        if body.len() <= MAX_BODY_PART_BYTES {
            last = body.to_bytes();
        } else {
            let parts = body.parts(MAX_BODY_PART_BYTES).map(|part| Packet {
                frame: Frame::BodyPart(reply.id),
                body: part,
            });
            self.queue.extend(parts);
        }
        let (frame, body) = (Frame::Reply(reply), last);
        self.queue.push_back(Packet { frame, body });
    }

    /// Drops the outcomes of calls below `floor`, which the ingress has received.
    fn drop_received(&mut self, floor: CallId) {
        while let Some(first) = self.ended.first_entry() {
            if *first.key() >= floor {
                return;
            }
            self.kept_body_bytes -= first.remove().reply.body.len();
        }
    }

    /// Drops expired responses, and the oldest ones while the bodies exceed their limit. What remains of them is that the
    /// backend server has run the request.
    fn drop_responses(&mut self, now: Instant) {
        while let Some((id, at)) = self.responses.front() {
            let is_expired = now.saturating_duration_since(*at) >= RESPONSE_TTL;
            if !is_expired && self.kept_body_bytes <= MAX_KEPT_BODY_BYTES {
                return;
            }
            let id = *id;
            self.responses.pop_front();
            self.drop_response(id);
        }
    }
}

impl State {
    /// Drops the response of a call. That the backend server has run the request remains known.
    fn drop_response(&mut self, id: CallId) {
        let Some(Ended { reply, .. }) = self.ended.get_mut(&id) else {
            return;
        };
        self.kept_body_bytes -= reply.body.len();
        reply.body = Body::default();
        if matches!(reply.outcome, CallOutcome::Answered { .. }) {
            reply.outcome = CallOutcome::Lost { broken: true };
        }
    }
}

/// Sends the outcome of one call on the current connection of its session.
pub struct ReplyHandle {
    id: CallId,
    session: Weak<Session>,
}

impl ReplyHandle {
    /// Returns the id of the call.
    #[must_use]
    pub fn id(&self) -> CallId {
        self.id
    }

    /// Ends the call with `reply`, whose id is set here.
    pub fn send(self, mut reply: Reply) {
        reply.id = self.id;
        if let Some(session) = self.session.upgrade() {
            session.end_call(reply);
        }
    }
}
