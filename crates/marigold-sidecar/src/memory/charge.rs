//! Shares in the memory that is held.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use tokio::sync::Notify;

use crate::body::Body;

/// The bytes of all charges of one budget. It is atomic because the owner of [`Bytes`] has to be `Send`.
#[derive(Debug, Default)]
pub(super) struct Usage {
    held: AtomicUsize,
    /// Notified when bytes are released.
    pub released: Notify,
}

impl Usage {
    /// Returns the bytes held.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }
}

/// A number of bytes that count as held until this is dropped.
#[derive(Debug)]
pub struct Charge {
    usage: Arc<Usage>,
    bytes: usize,
}

impl Charge {
    pub(super) fn new(usage: Arc<Usage>) -> Self {
        Self { usage, bytes: 0 }
    }

    /// Returns the number of bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Changes the number of bytes, even beyond the limit of the budget.
    pub fn set(&mut self, bytes: usize) {
        if bytes >= self.bytes {
            let added = bytes - self.bytes;
            self.usage.held.fetch_add(added, Ordering::Relaxed);
        } else {
            let removed = self.bytes - bytes;
            self.usage.held.fetch_sub(removed, Ordering::Relaxed);
            self.usage.released.notify_waiters();
        }
        self.bytes = bytes;
    }

    /// Moves up to `bytes` to another charge.
    #[must_use]
    pub fn split(&mut self, bytes: usize) -> Self {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        Self {
            usage: self.usage.clone(),
            bytes,
        }
    }

    /// Returns the same body, whose bytes count as held by this charge until their last copy is dropped.
    #[must_use]
    pub fn attach(mut self, body: &Body) -> Body {
        let attach = |segment: &Bytes| self.split(segment.len()).attach_bytes(segment.clone());
        body.segments().iter().map(attach).collect()
    }

    /// Returns the same bytes, which keep this charge until their last copy is dropped.
    #[must_use]
    pub fn attach_bytes(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(ChargedBytes {
            bytes,
            _charge: self,
        })
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.set(0);
    }
}

struct ChargedBytes {
    bytes: Bytes,
    _charge: Charge,
}

impl AsRef<[u8]> for ChargedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
