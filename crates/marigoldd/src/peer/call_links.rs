//! The outgoing call connections, one for each daemon.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use marigold_types::Address;
use tokio::sync::OnceCell;

use super::dialler::{Dialler, LocalPort};
use super::{LinkKind, PeerError, PeerLink};

/// A connection that is open or being opened, shared by all requests that wait for it.
struct Slot {
    cell: Arc<OnceCell<PeerLink>>,
    port: LocalPort,
}

/// Returns the call connection to each daemon, opening it if necessary.
pub(super) struct CallLinks {
    dialler: Arc<Dialler>,
    slots: Mutex<HashMap<Address, Slot>>,
}

impl CallLinks {
    pub(super) fn new(dialler: Arc<Dialler>) -> Self {
        Self {
            dialler,
            slots: Mutex::default(),
        }
    }

    /// Returns an open connection to `peer`. Concurrent calls share one handshake.
    pub(super) async fn get(&self, peer: Address) -> Result<PeerLink, PeerError> {
        let (cell, port) = self.slot(peer);
        if let Some(link) = cell.get() {
            return Ok(link.clone());
        }
        let dial = || self.dialler.dial(peer, LinkKind::Call, port);
        let result = cell.get_or_try_init(dial).await.cloned();
        if result.is_err() {
            self.remove_unopened(peer, &cell);
        }
        result
    }

    /// Stops using a silent connection for new requests, which then open one from another port.
    ///
    /// Requests in progress on it continue.
    pub(super) fn retire(&self, peer: Address, link: &PeerLink) {
        let mut slots = self.lock();
        let current = slots.get(&peer).and_then(|slot| slot.cell.get());
        if current.is_some_and(|c| c.connection.stable_id() == link.connection.stable_id()) {
            slots.insert(peer, Slot::new(LocalPort::Ephemeral));
        }
    }

    fn slot(&self, peer: Address) -> (Arc<OnceCell<PeerLink>>, LocalPort) {
        let mut slots = self.lock();
        let slot = slots
            .entry(peer)
            .or_insert_with(|| Slot::new(LocalPort::Listening));
        if slot.cell.get().is_some_and(|link| !link.is_open()) {
            *slot = Slot::new(LocalPort::Listening);
        }
        (slot.cell.clone(), slot.port)
    }

    /// Removes a connection that could not be opened, and those that were closed, so that
    /// unreachable daemons use no memory.
    fn remove_unopened(&self, peer: Address, cell: &Arc<OnceCell<PeerLink>>) {
        let mut slots = self.lock();
        let is_unopened = slots
            .get(&peer)
            .is_some_and(|slot| Arc::ptr_eq(&slot.cell, cell) && !slot.cell.initialized());
        if is_unopened {
            slots.remove(&peer);
        }
        slots.retain(|_, slot| slot.cell.get().is_none_or(PeerLink::is_open));
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<Address, Slot>> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Slot {
    fn new(port: LocalPort) -> Self {
        Self {
            cell: Arc::new(OnceCell::new()),
            port,
        }
    }
}
