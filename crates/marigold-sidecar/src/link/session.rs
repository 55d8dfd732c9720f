//! The executor's end of a session.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::{Rc, Weak};
use std::time::Duration;

use bytes::Bytes;
use marigold_dispatch::SiteReport;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::frame_codec::{MAX_PART, Packet};
use super::{CallId, Frame, Hello, Reply, StoreUpdate};

/// How long an outcome is kept for an ingress that may not have got it.
const KEEP: Duration = Duration::from_secs(3);
/// The bytes of bodies that are kept in one session.
const MAX_KEPT: usize = 1 << 20;

struct Ended {
    reply: Reply,
    at: Instant,
}

/// What one ingress has asked of this executor.
pub struct Session {
    state: RefCell<State>,
    pub(super) work: Notify,
}

struct State {
    epoch: u32,
    running: BTreeMap<CallId, CancellationToken>,
    ended: BTreeMap<CallId, Ended>,
    kept: usize,
    queue: VecDeque<Packet>,
    detached: Option<Instant>,
    /// Until when the other end wants news of the store.
    follows: Option<Instant>,
}

impl Session {
    /// Builds a session without calls.
    pub fn new(now: Instant) -> Self {
        Self {
            state: RefCell::new(State {
                epoch: 0,
                running: BTreeMap::new(),
                ended: BTreeMap::new(),
                kept: 0,
                queue: VecDeque::new(),
                detached: Some(now),
                follows: None,
            }),
            work: Notify::new(),
        }
    }

    /// Takes over the session for a new connection; returns the calls that never arrived, or none if
    /// the connection is older than the one that holds the session.
    pub fn attach(&self, hello: &Hello) -> Option<Vec<CallId>> {
        let mut state = self.state.borrow_mut();
        if hello.epoch <= state.epoch {
            return None;
        }
        state.epoch = hello.epoch;
        state.detached = None;
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
        // Wakes the connection that held the session, which ends.
        self.work.notify_waiters();
        Some(unknown)
    }

    /// Returns whether the connection of `epoch` still holds the session.
    pub fn is_held_by(&self, epoch: u32) -> bool {
        self.state.borrow().epoch == epoch
    }

    /// Notes that the connection of `epoch` has ended.
    pub fn detach(&self, epoch: u32, now: Instant) {
        let mut state = self.state.borrow_mut();
        if state.epoch == epoch {
            state.detached = Some(now);
        }
    }

    /// Returns since when the session has no connection.
    pub fn detached(&self) -> Option<Instant> {
        self.state.borrow().detached
    }

    /// Returns whether any call runs.
    pub fn is_running(&self) -> bool {
        !self.state.borrow().running.is_empty()
    }

    /// Opens a call; none if it was opened before.
    pub fn open(
        self: &Rc<Self>,
        id: CallId,
        floor: CallId,
        now: Instant,
    ) -> Option<(ReplyHandle, CancellationToken)> {
        let mut state = self.state.borrow_mut();
        state.forget(floor, now);
        if state.running.contains_key(&id) || state.ended.contains_key(&id) {
            return None;
        }
        let token = CancellationToken::new();
        state.running.insert(id, token.clone());
        let handle = ReplyHandle {
            id,
            session: Rc::downgrade(self),
        };
        Some((handle, token))
    }

    /// Cancels a call that nobody waits for.
    pub fn cancel(&self, id: CallId) {
        if let Some(token) = self.state.borrow().running.get(&id) {
            token.cancel();
        }
    }

    /// Cancels all calls, since the ingress is gone.
    pub fn cancel_all(&self) {
        for token in self.state.borrow().running.values() {
            token.cancel();
        }
    }

    /// Queues a message without a body.
    pub fn push(&self, frame: Frame) {
        let body = Bytes::new();
        self.state
            .borrow_mut()
            .queue
            .push_back(Packet { frame, body });
        self.work.notify_waiters();
    }

    /// Queues what has changed at the executor, if the session has a connection.
    pub fn push_site(&self, site: &SiteReport) {
        if self.detached().is_none() {
            self.push(Frame::Site(site.clone()));
        }
    }

    /// Sends news of the store from now on, until `until`.
    pub fn follow(&self, until: Instant) {
        self.state.borrow_mut().follows = Some(until);
    }

    /// Returns whether the other end wants news of the store.
    pub fn is_following(&self, now: Instant) -> bool {
        let state = self.state.borrow();
        state.detached.is_none() && state.follows.is_some_and(|until| until > now)
    }

    /// Queues news of the store.
    pub fn push_news(&self, mut news: StoreUpdate) {
        let body = std::mem::take(&mut news.delta);
        let frame = Frame::StoreUpdate(Box::new(news));
        self.state
            .borrow_mut()
            .queue
            .push_back(Packet { frame, body });
        self.work.notify_waiters();
    }

    /// Takes the next message to write.
    pub fn pop(&self) -> Option<Packet> {
        self.state.borrow_mut().queue.pop_front()
    }

    /// Returns whether anything waits to be written.
    pub fn has_output(&self) -> bool {
        !self.state.borrow().queue.is_empty()
    }

    fn end(&self, reply: Reply) {
        let mut state = self.state.borrow_mut();
        state.running.remove(&reply.id);
        state.kept += reply.body.len();
        let at = Instant::now();
        let kept = Ended {
            reply: reply.clone(),
            at,
        };
        state.ended.insert(reply.id, kept);
        state.forget(CallId(0), at);
        if state.detached.is_none() {
            state.send(reply);
        }
        drop(state);
        self.work.notify_waiters();
    }
}

impl State {
    fn send(&mut self, mut reply: Reply) {
        let mut body = std::mem::take(&mut reply.body);
        while body.len() > MAX_PART {
            let part = body.split_to(MAX_PART);
            self.queue.push_back(Packet {
                frame: Frame::BodyPart(reply.id),
                body: part,
            });
        }
        let frame = Frame::Reply(reply);
        self.queue.push_back(Packet { frame, body });
    }

    /// Forgets outcomes that the ingress has, that are old, or that take too much room.
    fn forget(&mut self, floor: CallId, now: Instant) {
        while let Some((id, first)) = self.ended.first_key_value() {
            let is_old = now.saturating_duration_since(first.at) >= KEEP;
            if *id >= floor && !is_old && self.kept <= MAX_KEPT {
                return;
            }
            if let Some((_, ended)) = self.ended.pop_first() {
                self.kept -= ended.reply.body.len();
            }
        }
    }
}

/// Sends the outcome of one call to whichever connection holds its session by then.
pub struct ReplyHandle {
    id: CallId,
    session: Weak<Session>,
}

impl ReplyHandle {
    /// Returns the call's name.
    #[must_use]
    pub fn id(&self) -> CallId {
        self.id
    }

    /// Ends the call.
    pub fn send(self, mut reply: Reply) {
        reply.id = self.id;
        if let Some(session) = self.session.upgrade() {
            session.end(reply);
        }
    }
}
