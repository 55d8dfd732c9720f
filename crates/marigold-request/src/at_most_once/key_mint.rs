//! Makes keys for callers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use marigold_auth::MeshKey;
use marigold_types::{InstanceId, Interval, ServiceName};
use rand::Rng;
use tokio::time::Instant;

use crate::at_most_once::{Nonce, RequestKey};

/// The most keys that one reservation at a witness covers.
const KEYS_PER_RESERVATION: u32 = 256;
/// The number of keys left at which the next reservation is asked for.
const LOW: u32 = 64;
/// The most witnesses whose time is kept.
const MAX_WITNESSES: usize = 64;
/// The age, as a part of a key's lifetime, at which a witness's time is asked for again.
const FRESH_PART: u32 = 4;

/// What is known of one witness.
#[derive(Debug, Clone, Copy)]
struct Reserve {
    /// Its uptime when it answered, in milliseconds.
    uptime: u64,
    /// When the answer came.
    at: Instant,
    /// Keys that may still be made.
    left: u32,
}

/// Makes keys without asking anybody while it holds a reservation at their witness.
///
/// A witness is asked once for [`KeyMint::KEYS_PER_RESERVATION`] keys, before the last ones are used up, so that a
/// caller does not wait for it.
#[derive(Debug)]
pub struct KeyMint {
    ttl: Duration,
    reserves: BTreeMap<InstanceId, Reserve>,
}

impl KeyMint {
    /// The number of keys to ask a witness for at a time.
    pub const KEYS_PER_RESERVATION: u32 = KEYS_PER_RESERVATION;

    /// Builds a mint for keys that live for `ttl`.
    #[must_use]
    pub fn new(ttl: Interval) -> Self {
        Self {
            ttl: ttl.duration(),
            reserves: BTreeMap::new(),
        }
    }

    /// Returns whether `witness` is to be asked for a reservation now, ahead of need.
    #[must_use]
    pub fn needs_reservation(&self, witness: &InstanceId, now: Instant) -> bool {
        self.reserves
            .get(witness)
            .is_none_or(|reserve| reserve.left <= LOW || !self.is_fresh(reserve, now))
    }

    /// Takes the answer of `witness` to a reservation, which came at `now`.
    pub fn record_reservation(&mut self, witness: InstanceId, uptime: u64, now: Instant) {
        if !self.reserves.contains_key(&witness) && self.reserves.len() >= MAX_WITNESSES {
            self.drop_oldest();
        }
        let reserve = Reserve {
            uptime,
            at: now,
            left: KEYS_PER_RESERVATION,
        };
        self.reserves.insert(witness, reserve);
    }

    /// Forgets `witness`, which refused or did not answer.
    pub fn forget(&mut self, witness: &InstanceId) {
        self.reserves.remove(witness);
    }

    /// Makes the text of a key, or none when `witness` has to be asked first.
    ///
    /// The expiry counts from the uptime that the witness gave, which it has passed since: a late
    /// answer makes a key shorter, never longer.
    pub fn mint(
        &mut self,
        executor: InstanceId,
        witness: InstanceId,
        service: &ServiceName,
        secret: &MeshKey,
        rng: &mut dyn Rng,
        now: Instant,
    ) -> Option<Arc<str>> {
        let reserve = *self.reserves.get(&witness)?;
        if reserve.left == 0 || !self.is_fresh(&reserve, now) {
            return None;
        }
        self.reserves.insert(
            witness,
            Reserve {
                left: reserve.left - 1,
                ..reserve
            },
        );
        let ttl = u64::try_from(self.ttl.as_millis()).unwrap_or(u64::MAX);
        let high = u128::from(rng.next_u64());
        let key = RequestKey {
            executor,
            witness,
            service: service.clone(),
            expiry: reserve.uptime.saturating_add(ttl),
            nonce: Nonce(high << 64 | u128::from(rng.next_u64())),
        };
        Some(key.encode(secret))
    }

    /// Returns whether a key made now still has most of its lifetime.
    fn is_fresh(&self, reserve: &Reserve, now: Instant) -> bool {
        now.saturating_duration_since(reserve.at) < self.ttl / FRESH_PART
    }

    fn drop_oldest(&mut self) {
        let oldest = self.reserves.iter().min_by_key(|(_, r)| r.at);
        if let Some(witness) = oldest.map(|(witness, _)| *witness) {
            self.reserves.remove(&witness);
        }
    }
}
