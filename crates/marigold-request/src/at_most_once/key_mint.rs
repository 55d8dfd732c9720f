//! Issues idempotency keys to callers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use marigold_auth::MeshKey;
use marigold_types::{InstanceId, Interval, ServiceName};
use rand::Rng;
use tokio::time::Instant;

use crate::at_most_once::{Nonce, RequestKey};

/// The number of keys that one reservation at a witness covers.
const KEYS_PER_RESERVATION: u32 = 256;
/// The number of remaining keys at which the next reservation is requested.
const RENEWAL_THRESHOLD_KEYS: u32 = 64;
/// The maximum number of witnesses with a reservation.
const MAX_WITNESSES: usize = 64;
/// A reservation is renewed when it is older than the key lifetime divided by this.
const RENEWAL_AGE_DIVISOR: u32 = 4;

/// A reservation for keys at one witness.
#[derive(Debug, Clone, Copy)]
struct Reservation {
    /// The uptime of the witness when it answered, in milliseconds.
    uptime: u64,
    /// When the answer arrived.
    received_at: Instant,
    /// The number of keys that may still be issued.
    remaining_keys: u32,
}

/// Issues keys locally while it holds a reservation at their witness.
///
/// Each reservation covers [`KeyMint::KEYS_PER_RESERVATION`] keys and is renewed before the last
/// one is used, so that callers do not wait for the witness.
#[derive(Debug)]
pub struct KeyMint {
    ttl: Duration,
    reservations: BTreeMap<InstanceId, Reservation>,
}

impl KeyMint {
    /// The number of keys to request from a witness at a time.
    pub const KEYS_PER_RESERVATION: u32 = KEYS_PER_RESERVATION;

    /// Creates a mint for keys with the lifetime `ttl`.
    #[must_use]
    pub fn new(ttl: Interval) -> Self {
        Self {
            ttl: ttl.duration(),
            reservations: BTreeMap::new(),
        }
    }

    /// Returns whether a new reservation should be requested from `witness` now.
    #[must_use]
    pub fn needs_reservation(&self, witness: &InstanceId, now: Instant) -> bool {
        self.reservations.get(witness).is_none_or(|reservation| {
            reservation.remaining_keys <= RENEWAL_THRESHOLD_KEYS || !self.is_fresh(reservation, now)
        })
    }

    /// Records a reservation that `witness` granted; `uptime` is in milliseconds.
    pub fn record_reservation(&mut self, witness: InstanceId, uptime: u64, now: Instant) {
        if !self.reservations.contains_key(&witness) && self.reservations.len() >= MAX_WITNESSES {
            self.drop_oldest();
        }
        let reservation = Reservation {
            uptime,
            received_at: now,
            remaining_keys: KEYS_PER_RESERVATION,
        };
        self.reservations.insert(witness, reservation);
    }

    /// Drops the reservation at `witness`, which refused or did not answer.
    pub fn forget(&mut self, witness: &InstanceId) {
        self.reservations.remove(witness);
    }

    /// Issues a key, or returns `None` if a reservation at `witness` is needed first.
    ///
    /// The expiry is based on the uptime in the witness's answer, which lies in the past: a delayed
    /// answer shortens the lifetime of a key but never extends it.
    pub fn mint(
        &mut self,
        executor: InstanceId,
        witness: InstanceId,
        service: &ServiceName,
        secret: &MeshKey,
        rng: &mut dyn Rng,
        now: Instant,
    ) -> Option<Arc<str>> {
        let reservation = *self.reservations.get(&witness)?;
        if reservation.remaining_keys == 0 || !self.is_fresh(&reservation, now) {
            return None;
        }
        self.reservations.insert(
            witness,
            Reservation {
                remaining_keys: reservation.remaining_keys - 1,
                ..reservation
            },
        );
        let ttl = u64::try_from(self.ttl.as_millis()).unwrap_or(u64::MAX);
        let high = u128::from(rng.next_u64());
        let key = RequestKey {
            executor,
            witness,
            service: service.clone(),
            expiry: reservation.uptime.saturating_add(ttl),
            nonce: Nonce(high << 64 | u128::from(rng.next_u64())),
        };
        Some(key.encode(secret))
    }

    /// Returns whether a key issued now would still have most of its lifetime.
    fn is_fresh(&self, reservation: &Reservation, now: Instant) -> bool {
        now.saturating_duration_since(reservation.received_at) < self.ttl / RENEWAL_AGE_DIVISOR
    }

    fn drop_oldest(&mut self) {
        let oldest = self.reservations.iter().min_by_key(|(_, r)| r.received_at);
        if let Some(witness) = oldest.map(|(witness, _)| *witness) {
            self.reservations.remove(&witness);
        }
    }
}
