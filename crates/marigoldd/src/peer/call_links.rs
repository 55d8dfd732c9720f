//! The call connections: one for each daemon that requests are sent to.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use marigold_types::Address;
use tokio::sync::OnceCell;

use super::dialler::{Dialler, Port};
use super::{LinkKind, PeerError, PeerLink};

/// A connection that is open or being opened, shared by all who wait for it.
struct Slot {
    cell: Arc<OnceCell<PeerLink>>,
    port: Port,
}

/// Finds or opens the call connection of each daemon.
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

    /// Returns an open connection to `peer`; one handshake serves all who ask meanwhile.
    pub(super) async fn get(&self, peer: Address) -> Result<PeerLink, PeerError> {
        let (cell, port) = self.slot(peer);
        if let Some(link) = cell.get() {
            return Ok(link.clone());
        }
        let dial = || self.dialler.dial(peer, LinkKind::Call, port);
        let result = cell.get_or_try_init(dial).await.cloned();
        if result.is_err() {
            self.forget(peer, &cell);
        }
        result
    }

    /// Takes a silent connection out of use; what runs on it goes on.
    pub(super) fn retire(&self, peer: Address, link: &PeerLink) {
        let mut slots = self.lock();
        let current = slots.get(&peer).and_then(|slot| slot.cell.get());
        if current.is_some_and(|c| c.connection.stable_id() == link.connection.stable_id()) {
            slots.insert(peer, Slot::new(Port::Fresh));
        }
    }

    fn slot(&self, peer: Address) -> (Arc<OnceCell<PeerLink>>, Port) {
        let mut slots = self.lock();
        let slot = slots.entry(peer).or_insert_with(|| Slot::new(Port::Usual));
        if slot.cell.get().is_some_and(|link| !link.is_open()) {
            *slot = Slot::new(Port::Usual);
        }
        (slot.cell.clone(), slot.port)
    }

    /// Forgets a connection that could not be opened, so that unreachable daemons take no memory.
    fn forget(&self, peer: Address, cell: &Arc<OnceCell<PeerLink>>) {
        let mut slots = self.lock();
        let same = slots
            .get(&peer)
            .is_some_and(|slot| Arc::ptr_eq(&slot.cell, cell) && !slot.cell.initialized());
        if same {
            slots.remove(&peer);
        }
        slots.retain(|_, slot| slot.cell.get().is_none_or(PeerLink::is_open));
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<Address, Slot>> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Slot {
    fn new(port: Port) -> Self {
        Self {
            cell: Arc::new(OnceCell::new()),
            port,
        }
    }
}
