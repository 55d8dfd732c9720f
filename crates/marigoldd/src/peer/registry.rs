//! Every connection of a daemon, for bounds and for exact counts of bytes.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use quinn::{Connection, VarInt};
use slotmap::{SlotMap, new_key_type};
use tokio::time::Instant;

use super::{LinkKind, Traffic};

/// The most connections of each kind; the least recently used goes first.
const MAX_LINKS: usize = 4_096;
const CLOSE_UNUSED: VarInt = VarInt::from_u32(1);

new_key_type! {
    /// Names one connection.
    struct LinkKey;
}

/// How much a connection is used; its holder keeps it up to date without a lock.
#[derive(Debug)]
pub struct Usage {
    start: Instant,
    used: AtomicU64,
    streams: AtomicUsize,
}

impl Usage {
    /// Notes that the connection is used now.
    pub fn touch(&self) {
        let millis = u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.used.store(millis, Ordering::Relaxed);
    }

    /// Notes that a stream is open until the guard goes.
    #[must_use]
    pub fn open(self: &Arc<Self>) -> StreamGuard {
        self.touch();
        self.streams.fetch_add(1, Ordering::Relaxed);
        StreamGuard(self.clone())
    }
}

/// Holds a connection in use while a stream is open on it.
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

/// Holds every connection until it is closed and counted.
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

    /// Takes `connection` in and closes the least recently used when there are too many.
    pub(super) fn add(&self, connection: &Connection, kind: LinkKind) -> Arc<Usage> {
        let usage = Arc::new(Usage {
            start: self.start,
            used: AtomicU64::new(0),
            streams: AtomicUsize::new(0),
        });
        usage.touch();
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.sweep();
        inner.make_room(kind);
        inner.links.insert(Link {
            connection: connection.clone(),
            kind,
            usage: usage.clone(),
        });
        usage
    }

    /// Returns the bytes of every connection since the start.
    pub(super) fn traffic(&self) -> Traffic {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.sweep();
        let mut total = inner.closed;
        for link in inner.links.values() {
            total.add(link.kind, &link.connection.stats());
            total.open[link.kind.index()] += 1;
        }
        total
    }
}

impl Inner {
    /// Counts the closed connections and forgets them.
    fn sweep(&mut self) {
        let closed = &mut self.closed;
        self.links.retain(|_, link| {
            let open = link.connection.close_reason().is_none();
            if !open {
                closed.add(link.kind, &link.connection.stats());
            }
            open
        });
    }

    fn make_room(&mut self, kind: LinkKind) {
        let of_kind = || self.links.iter().filter(|(_, link)| link.kind == kind);
        if of_kind().count() < MAX_LINKS {
            return;
        }
        let oldest = of_kind()
            .filter(|(_, link)| link.usage.streams.load(Ordering::Relaxed) == 0)
            .min_by_key(|(_, link)| link.usage.used.load(Ordering::Relaxed));
        if let Some((_, link)) = oldest {
            link.connection.close(CLOSE_UNUSED, b"unused");
        }
    }
}
