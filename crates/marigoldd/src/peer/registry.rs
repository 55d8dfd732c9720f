//! All connections of a daemon, to limit their number and to count their bytes exactly.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use quinn::{Connection, VarInt};
use slotmap::{SlotMap, new_key_type};
use tokio::time::Instant;

use super::{LinkKind, Traffic};

/// The maximum number of connections of each kind. Beyond it, the least recently used one
/// without streams is closed.
const MAX_CONNECTIONS_PER_KIND: usize = 4_096;
const CLOSE_UNUSED: VarInt = VarInt::from_u32(1);

new_key_type! {
    /// Identifies one connection.
    struct LinkKey;
}

/// The usage of a connection, updated without a lock.
#[derive(Debug)]
pub struct Usage {
    start: Instant,
    /// Milliseconds from `start` to the last use.
    last_used: AtomicU64,
    streams: AtomicUsize,
}

impl Usage {
    /// Records that the connection is used now.
    pub fn touch(&self) {
        let millis = u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.last_used.store(millis, Ordering::Relaxed);
    }

    /// Counts an open stream until the returned guard is dropped.
    #[must_use]
    pub fn open(self: &Arc<Self>) -> StreamGuard {
        self.touch();
        self.streams.fetch_add(1, Ordering::Relaxed);
        StreamGuard(self.clone())
    }
}

/// Counts one open stream on a connection, which protects the connection from eviction.
#[derive(Debug)]
pub struct StreamGuard(Arc<Usage>);

impl Drop for StreamGuard {
    fn drop(&mut self) {
        self.0.touch();
        self.0.streams.fetch_sub(1, Ordering::Relaxed);
    }
}

struct Link {
    connection: Connection,
    kind: LinkKind,
    usage: Arc<Usage>,
}

#[derive(Default)]
struct Inner {
    links: SlotMap<LinkKey, Link>,
    closed: Traffic,
}

/// Holds every connection until it is closed and its bytes are counted.
pub(super) struct Registry {
    start: Instant,
    inner: Mutex<Inner>,
}

impl Registry {
    pub(super) fn new() -> Self {
        Self {
            start: Instant::now(),
            inner: Mutex::default(),
        }
    }

    /// Registers `connection`, and closes the least recently used one without streams if there are
    /// too many.
    pub(super) fn add(&self, connection: &Connection, kind: LinkKind) -> Arc<Usage> {
        let usage = Arc::new(Usage {
            start: self.start,
            last_used: AtomicU64::new(0),
            streams: AtomicUsize::new(0),
        });
        usage.touch();
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.remove_closed();
        inner.evict_if_full(kind);
        inner.links.insert(Link {
            connection: connection.clone(),
            kind,
            usage: usage.clone(),
        });
        usage
    }

    /// Returns the totals of all connections since the start.
    pub(super) fn traffic(&self) -> Traffic {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.remove_closed();
        let mut total = inner.closed;
        for link in inner.links.values() {
            total.add(link.kind, &link.connection.stats());
            total.open[link.kind.index()] += 1;
        }
        total
    }
}

impl Inner {
    /// Removes the closed connections and adds their bytes to the totals.
    fn remove_closed(&mut self) {
        let closed = &mut self.closed;
        self.links.retain(|_, link| {
            let open = link.connection.close_reason().is_none();
            if !open {
                closed.add(link.kind, &link.connection.stats());
            }
            open
        });
    }

    fn evict_if_full(&mut self, kind: LinkKind) {
        let of_kind = || self.links.iter().filter(|(_, link)| link.kind == kind);
        if of_kind().count() < MAX_CONNECTIONS_PER_KIND {
            return;
        }
        let oldest = of_kind()
            .filter(|(_, link)| link.usage.streams.load(Ordering::Relaxed) == 0)
            .min_by_key(|(_, link)| link.usage.last_used.load(Ordering::Relaxed));
        if let Some((_, link)) = oldest {
            link.connection.close(CLOSE_UNUSED, b"unused");
        }
    }
}
