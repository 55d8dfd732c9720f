//! The most recent configurations in encoded form, and deltas between them.

use std::collections::VecDeque;
use std::io::{Read, Write};
use std::time::Duration;

use bytes::Bytes;
use fast_rsync::{Signature, SignatureOptions, apply_limited, diff};
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use marigold_log::{StoreEra, StorePosition};
use marigold_types::{Digest, LogOffset, Version};
use tokio::time::Instant;

use crate::link::ConfigChange;

/// Followers that are further behind receive the whole configuration instead of a delta.
const MAX_VERSIONS: usize = 4;
/// Block size of rsync signatures. This is about the size of one route, so that changing a route costs
/// about one block.
const BLOCK_BYTES: u32 = 192;
/// Hash size of a signature block. Collisions are caught by the digest of the whole configuration.
const BLOCK_HASH_BYTES: u32 = 8;
/// Longer than a read of the store and the pause to the next one take.
const READ_TIME: Duration = Duration::from_secs(3);
/// Limit on the size of a configuration after decompression.
const MAX_CONFIG_BYTES: usize = 16 << 20;

#[derive(Debug)]
struct StoredConfig {
    version: Version,
    bytes: Bytes,
}

/// The most recent configurations, byte for byte as the store holds them.
#[derive(Debug, Default)]
pub struct ConfigHistory {
    /// Oldest first.
    configs: VecDeque<StoredConfig>,
    /// Where this daemon reads on.
    position: Option<StorePosition>,
    /// When this daemon last read the store.
    read_at: Option<Instant>,
    /// When it first read the history of its position.
    era_since: Option<Instant>,
    era: Option<StoreEra>,
}

impl ConfigHistory {
    /// Returns the newest version.
    #[must_use]
    pub fn version(&self) -> Option<Version> {
        self.configs.back().map(|config| config.version)
    }

    /// Returns the position to read the store's next change from, or `None` if the table must be read as a
    /// whole.
    #[must_use]
    pub fn position(&self) -> Option<StorePosition> {
        self.position
    }

    /// Sets the position to read the store's next change from, after a read of this daemon that ended at `now`.
    pub fn set_position(&mut self, position: StorePosition, now: Instant) {
        if self.era_since.is_none() || self.era != position.era {
            self.era = position.era;
            self.era_since = Some(now);
        }
        self.position = Some(position);
        self.read_at = Some(now);
    }

    /// Takes over the offset that another daemon stated with its configuration, which it had last read from the store at
    /// `confirmed_at`, so that this daemon need not read what it has been told.
    ///
    /// An offset may be of a history of the store that has ended, unless the other daemon has read since this one knows of the
    /// present history. If this daemon does not know of the present one yet, its next read fails as it would have anyway.
    pub fn adopt_offset(&mut self, offset: LogOffset, confirmed_at: Option<Instant>) {
        let is_of_era = matches!(
            (confirmed_at, self.era_since),
            (Some(at), Some(since)) if at >= since + READ_TIME
        );
        if let Some(position) = &mut self.position
            && is_of_era
        {
            position.offset = position.offset.max(offset);
        }
    }

    /// Clears the position, so that the table is read as a whole next time.
    pub fn clear_position(&mut self) {
        self.position = None;
    }

    /// Adds a newer version and evicts the oldest if the history is full.
    pub fn push(&mut self, version: Version, bytes: Bytes) {
        if self.configs.len() == MAX_VERSIONS {
            self.configs.pop_front();
        }
        self.configs.push_back(StoredConfig { version, bytes });
    }

    /// Returns the compressed delta from `base` to the newest version, or the whole newest version if
    /// `base` is not in the history.
    ///
    /// Returns `None` if `base` is the newest version or nothing is known yet.
    #[must_use]
    pub fn change_since(&self, base: Option<Version>) -> Option<(ConfigChange, Bytes)> {
        let newest = self
            .configs
            .back()
            .filter(|newest| Some(newest.version) != base)?;
        let old = self
            .configs
            .iter()
            .find(|config| Some(config.version) == base);
        let delta = match old {
            Some(old) => encode_delta(&old.bytes, &newest.bytes)?,
            None => newest.bytes.to_vec(),
        };
        let change = ConfigChange {
            base: old.map(|old| old.version),
            digest: Digest::of(&newest.bytes),
            next: self.stated_offset(),
        };
        Some((change, compress(&delta)?))
    }

    /// Returns the offset to state to another daemon: that of this daemon if it is reading the store, or one that means
    /// nothing, from which daemons of earlier versions read everything.
    fn stated_offset(&self) -> LogOffset {
        let is_reading = self.read_at.is_some_and(|at| at.elapsed() < READ_TIME);
        let position = self.position.filter(|_| is_reading);
        position.map_or(LogOffset(0), |position| position.offset)
    }

    /// Applies a change and returns the resulting configuration.
    ///
    /// Returns `None` if its base is not in the history, or the result does not match the digest.
    #[must_use]
    pub fn apply(&self, change: &ConfigChange, delta: &[u8]) -> Option<Bytes> {
        let delta = decompress(delta)?;
        let bytes = if let Some(base) = change.base {
            let old = self.configs.iter().find(|config| config.version == base)?;
            let mut bytes = Vec::with_capacity(old.bytes.len());
            // If the delta cannot be applied, the caller requests the whole configuration.
            apply_limited(&old.bytes, &delta, &mut bytes, MAX_CONFIG_BYTES).ok()?;
            bytes
        } else {
            delta
        };
        (Digest::of(&bytes) == change.digest).then(|| Bytes::from(bytes))
    }
}

/// Returns the rsync delta between two configurations, or `None` if encoding fails.
fn encode_delta(old: &[u8], new: &[u8]) -> Option<Vec<u8>> {
    let options = SignatureOptions {
        block_size: BLOCK_BYTES,
        crypto_hash_size: BLOCK_HASH_BYTES,
    };
    let signature = Signature::calculate(old, options);
    let mut delta = Vec::new();
    diff(&signature.index(), new, &mut delta).ok()?;
    Some(delta)
}

/// Compresses a delta. On the slowest links, transmission takes several times as long as compression.
///
/// Returns `None` if compression fails.
fn compress(bytes: &[u8]) -> Option<Bytes> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(bytes).ok()?;
    encoder.finish().ok().map(Bytes::from)
}

fn decompress(bytes: &[u8]) -> Option<Vec<u8>> {
    let limit = u64::try_from(MAX_CONFIG_BYTES).unwrap_or(u64::MAX);
    let mut decompressed = Vec::new();
    DeflateDecoder::new(bytes)
        .take(limit)
        .read_to_end(&mut decompressed)
        .ok()?;
    Some(decompressed)
}
