//! The control connections: one link for each daemon that there is something to tell.

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

/// Messages that may wait for one daemon.
const QUEUE: usize = 256;
/// The most daemons with a link; further ones are refused until some have become idle.
const MAX_LINKS: usize = 4_096;

/// What every link needs.
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

/// Holds the queue of each link; a link's task owns its connection.
pub(super) struct ControlLinks {
    context: Arc<ControlContext>,
    /// Absent once the daemon is leaving.
    slots: Mutex<Option<HashMap<Address, Slot>>>,
}

impl ControlLinks {
    pub(super) fn new(context: ControlContext) -> Arc<Self> {
        Arc::new(Self {
            context: Arc::new(context),
            slots: Mutex::new(Some(HashMap::new())),
        })
    }

    /// Queues a message; a full queue drops it, which gossip makes up for.
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
            return Err(refused("a daemon does not send to itself"));
        }
        let mut guard = self.lock();
        let Some(slots) = guard.as_mut() else {
            return Err(refused("the daemon is leaving"));
        };
        if !slots.contains_key(&to) {
            if slots.len() >= MAX_LINKS {
                self.context.meters.count_dropped("links");
                return Err(refused("too many links"));
            }
            slots.insert(to, self.start(to));
        }
        let sent = slots[&to].queue.try_send(Outgoing { kind, message });
        if sent.is_err() {
            self.context.meters.count_dropped("queue");
        }
        Ok(())
    }

    /// Lets the link to `peer` use a connection that the peer opened.
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
        // A link that has one waiting already needs no second.
        let _ = slots[&peer].accepted.try_send(link);
    }

    /// Reads what the daemon `from` says on `link` until it ends.
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
                        link.close_nonsense(&error.to_string());
                    }
                    return;
                }
            }
        }
    }

    pub(super) fn context(&self) -> &Arc<ControlContext> {
        &self.context
    }

    /// Forgets an idle link unless something has been queued for it since.
    pub(super) fn retire(&self, peer: Address, queue: &mpsc::Receiver<Outgoing>) -> bool {
        let mut guard = self.lock();
        if !queue.is_empty() {
            return false;
        }
        if let Some(slots) = guard.as_mut() {
            slots.remove(&peer);
        }
        true
    }

    /// Ends every link; nothing is sent from now on.
    pub(super) fn stop(&self) {
        *self.lock() = None;
    }

    fn start(self: &Arc<Self>, peer: Address) -> Slot {
        let (queue, waiting) = mpsc::channel(QUEUE);
        let (accepted, adopted) = mpsc::channel(1);
        let link = ControlLink::new(peer, self.clone(), waiting, adopted);
        tokio::spawn(link.run());
        Slot { queue, accepted }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<HashMap<Address, Slot>>> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
