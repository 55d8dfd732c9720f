//! Daemons with a quarantine.

use marigold_request::quarantine::{
    Fingerprint, Quarantine, QuarantinePolicy, QuarantineStatus, RunToken,
};
use tokio::time::Instant;

use super::{instance, interval};

pub const TERM_MS: u64 = 300_000;

pub fn print(number: u8) -> Fingerprint {
    Fingerprint([number; 16])
}

pub fn quarantine(host: u16) -> Quarantine {
    let policy = QuarantinePolicy::fixed(interval(TERM_MS));
    Quarantine::new(instance(host, 1), policy)
}

/// A policy with two crashes, and terms from 30 s to 5 minutes.
pub fn patient_quarantine(host: u16) -> Quarantine {
    let policy = QuarantinePolicy {
        crashes: 2,
        term: interval(30_000),
        max_term: interval(TERM_MS),
        hold: interval(10_000),
        memory: interval(2 * TERM_MS),
    };
    Quarantine::new(instance(host, 1), policy)
}

/// Starts a request as its status demands.
pub fn start(daemon: &mut Quarantine, fingerprint: Fingerprint, now: Instant) -> RunToken {
    let exclusive = daemon.status(&fingerprint, now) == QuarantineStatus::Suspect;
    daemon.record_start(fingerprint, exclusive)
}

pub fn is_refused(daemon: &mut Quarantine, fingerprint: Fingerprint, now: Instant) -> bool {
    matches!(
        daemon.status(&fingerprint, now),
        QuarantineStatus::Refused(_)
    )
}

pub fn send_updates(from: &mut Quarantine, to: &mut Quarantine, now: Instant) {
    let updates = from.take_updates(now);
    to.receive(&updates, now);
}
