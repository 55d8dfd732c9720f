//! The bytes of the newest configurations, to make and take changes between them.

use std::collections::VecDeque;
use std::io::{Read, Write};

use bytes::Bytes;
use fast_rsync::{Signature, SignatureOptions, apply_limited, diff};
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use marigold_types::{Digest, LogOffset, Version};

use crate::link::ConfigChange;

/// The versions that a follower may be behind and still get a change.
const MAX_KEPT: usize = 4;
/// The block of a signature: about one route, so that a change of one route costs about one block.
const BLOCK: u32 = 192;
/// The bytes of a block's hash; the digest of the whole finds what this misses.
const HASH_BYTES: u32 = 8;
/// The largest configuration that is taken.
const MAX_CONFIG: usize = 16 << 20;

#[derive(Debug)]
struct Kept {
    version: Version,
    bytes: Bytes,
}

/// Keeps the newest configurations as the store gave them.
#[derive(Debug, Default)]
pub struct ConfigHistory {
    kept: VecDeque<Kept>,
    next: Option<LogOffset>,
}

impl ConfigHistory {
    /// Returns the newest version.
    #[must_use]
    pub fn version(&self) -> Option<Version> {
        self.kept.back().map(|kept| kept.version)
    }

    /// Returns where the store's next change is read from.
    #[must_use]
    pub fn next_offset(&self) -> Option<LogOffset> {
        self.next
    }

    /// Notes where the store's next change is read from.
    pub fn set_next_offset(&mut self, next: LogOffset) {
        self.next = Some(next);
    }

    /// Forgets where the store's next change is read from, so that the table is read as a whole.
    pub fn clear_next_offset(&mut self) {
        self.next = None;
    }

    /// Adds a newer version.
    pub fn push(&mut self, version: Version, bytes: Bytes) {
        if self.kept.len() == MAX_KEPT {
            self.kept.pop_front();
        }
        self.kept.push_back(Kept { version, bytes });
    }

    /// Makes the change from `base` to the newest version, or the whole of it if `base` is not kept; none
    /// if `base` is the newest.
    #[must_use]
    pub fn change_since(&self, base: Option<Version>) -> Option<(ConfigChange, Bytes)> {
        let newest = self
            .kept
            .back()
            .filter(|newest| Some(newest.version) != base)?;
        let old = self.kept.iter().find(|kept| Some(kept.version) == base);
        let delta = match old {
            Some(old) => difference(&old.bytes, &newest.bytes)?,
            None => newest.bytes.to_vec(),
        };
        let change = ConfigChange {
            base: old.map(|old| old.version),
            digest: Digest::of(&newest.bytes),
            next: self.next?,
        };
        Some((change, compress(&delta)?))
    }

    /// Returns the configuration that `change` leads to; none if it does not fit what is kept.
    #[must_use]
    pub fn apply(&self, change: &ConfigChange, delta: &[u8]) -> Option<Bytes> {
        let delta = decompress(delta)?;
        let bytes = if let Some(base) = change.base {
            let old = self.kept.iter().find(|kept| kept.version == base)?;
            let mut bytes = Vec::with_capacity(old.bytes.len());
            // What cannot be applied is asked for as a whole.
            apply_limited(&old.bytes, &delta, &mut bytes, MAX_CONFIG).ok()?;
            bytes
        } else {
            delta
        };
        (Digest::of(&bytes) == change.digest).then(|| Bytes::from(bytes))
    }
}

/// Returns the difference between two configurations; none if it cannot be made.
fn difference(old: &[u8], new: &[u8]) -> Option<Vec<u8>> {
    let options = SignatureOptions {
        block_size: BLOCK,
        crypto_hash_size: HASH_BYTES,
    };
    let signature = Signature::calculate(old, options);
    let mut delta = Vec::new();
    diff(&signature.index(), new, &mut delta).ok()?;
    Some(delta)
}

/// Compresses a change, since the narrowest links carry it in several times the time that this takes;
/// none if it cannot be done.
fn compress(bytes: &[u8]) -> Option<Bytes> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(bytes).ok()?;
    encoder.finish().ok().map(Bytes::from)
}

fn decompress(bytes: &[u8]) -> Option<Vec<u8>> {
    let limit = u64::try_from(MAX_CONFIG).unwrap_or(u64::MAX);
    let mut whole = Vec::new();
    DeflateDecoder::new(bytes)
        .take(limit)
        .read_to_end(&mut whole)
        .ok()?;
    Some(whole)
}
