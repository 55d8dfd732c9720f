//! The content of streamed answers, which both ends can compute.

use bytes::Bytes;

/// The pattern repeats after so many bytes, a prime, so that a lost chunk shows.
const PERIOD: u64 = 251;

/// Returns `size` bytes of the streamed content from `offset` on.
#[must_use]
pub fn pattern(offset: u64, size: usize) -> Bytes {
    let bytes = (offset..).take(size).map(|at| (at % PERIOD) as u8);
    bytes.collect()
}
