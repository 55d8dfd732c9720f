//! The content of streamed responses, which both ends can compute.

use bytes::Bytes;

/// The period of the pattern. It is a prime, so that a lost chunk shifts the content.
const PERIOD_BYTES: u64 = 251;

/// Returns `size` bytes of the pattern starting at `offset`.
#[must_use]
pub fn pattern(offset: u64, size: usize) -> Bytes {
    let bytes = (offset..).take(size).map(|at| (at % PERIOD_BYTES) as u8);
    bytes.collect()
}
