//! The control connections: one link for each daemon that messages are sent to.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use marigold_control::Event;
use marigold_types::Address;
use tokio::sync::mpsc;

use super::control_link::{ControlLink, Outgoing};
use super::dialler::Dialler;
use super::meters::Meters;
use super::{PeerError, PeerLink};

/// The maximum number of queued messages for one daemon.
const MAX_QUEUED_MESSAGES: usize = 256;
/// The maximum number of links; further daemons are refused until a link becomes idle.
const MAX_LINKS: usize = 4_096;

/// The state that all links share.
pub(super) struct ControlContext {
    pub(super) local: Address,
    pub(super) dialler: Arc<Dialler>,
    pub(super) events: mpsc::Sender<Event>,
    pub(super) meters: Arc<Meters>,
}

struct Slot {
    queue: mpsc::Sender<Outgoing>,
    accepted: mpsc::Sender<PeerLink>,
}

/// Holds the queue of each link. The connection is owned by the task of its [`ControlLink`].
pub(super) struct ControlLinks {
    context: Arc<ControlContext>,
    /// `None` once the daemon is shutting down.
    slots: Mutex<Option<HashMap<Address, Slot>>>,
}

impl ControlLinks {
    pub(super) fn new(context: ControlContext) -> Arc<Self> {
        Arc::new(Self {
            context: Arc::new(context),
            slots: Mutex::new(Some(HashMap::new())),
        })
    }

    /// Queues a message. It is dropped if the queue is full, since gossip repeats its content.
    pub(super) fn send(
        self: &Arc<Self>,
        to: Address,
        kind: &'static str,
        message: Bytes,
    ) -> Result<(), PeerError> {
        let refused = |reason: &str| PeerError {
            step: "send",
            peer: to,
            reason: Arc::from(reason),
            sent: false,
        };
        if to == self.context.local {
            return Err(refused("the destination is this daemon"));
        }
        let mut guard = self.lock();
        let Some(slots) = guard.as_mut() else {
            return Err(refused("the daemon is shutting down"));
        };
        if !slots.contains_key(&to) {
            if slots.len() >= MAX_LINKS {
                self.context.meters.count_dropped("links");
                return Err(refused("too many control links"));
            }
            slots.insert(to, self.start(to));
        }
        let sent = slots[&to].queue.try_send(Outgoing { kind, message });
        if sent.is_err() {
            self.context.meters.count_dropped("queue");
        }
        Ok(())
    }

    /// Hands a connection that `peer` opened to its link.
    pub(super) fn adopt(self: &Arc<Self>, peer: Address, link: PeerLink) {
        let mut guard = self.lock();
        let Some(slots) = guard.as_mut() else {
            return;
        };
        if !slots.contains_key(&peer) {
            if slots.len() >= MAX_LINKS {
                return;
            }
            slots.insert(peer, self.start(peer));
        }
        // If one is pending already, the link needs no other.
        let _ = slots[&peer].accepted.try_send(link);
    }

    /// Forwards the messages from the daemon `from` on `link` as events until the stream ends.
    pub(super) async fn read(
        context: &ControlContext,
        from: Address,
        link: &PeerLink,
        mut frames: super::codec::Frames,
    ) {
        loop {
            match super::codec::read_raw(&mut frames).await {
                Ok(Some(message)) => {
                    link.usage.touch();
                    let message = message.to_vec();
                    let event = Event::Received { from, message };
                    if context.events.send(event).await.is_err() {
                        return;
                    }
                }
                Ok(None) => return,
                Err(error) => {
                    if link.is_open() {
                        context.meters.count_fault("read control");
                        link.close_protocol_error(&error.to_string());
                    }
                    return;
                }
            }
        }
    }

    pub(super) fn context(&self) -> &Arc<ControlContext> {
        &self.context
    }

    /// Removes an idle link, unless a message was queued for it meanwhile; returns whether it did.
    pub(super) fn remove_idle(&self, peer: Address, queue: &mpsc::Receiver<Outgoing>) -> bool {
        let mut guard = self.lock();
        if !queue.is_empty() {
            return false;
        }
        if let Some(slots) = guard.as_mut() {
            slots.remove(&peer);
        }
        true
    }

    /// Ends every link. Nothing is sent from now on.
    pub(super) fn stop(&self) {
        *self.lock() = None;
    }

    fn start(self: &Arc<Self>, peer: Address) -> Slot {
        let (queue, waiting) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let (accepted, adopted) = mpsc::channel(1);
        let link = ControlLink::new(peer, self.clone(), waiting, adopted);
        tokio::spawn(link.run());
        Slot { queue, accepted }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<HashMap<Address, Slot>>> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
