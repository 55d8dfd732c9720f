//! Quarantine of requests that crash backend servers. See docs/design/crashing-requests.md.

mod common;

use std::collections::BTreeSet;

use common::crashes::{is_refused, patient_quarantine, print, quarantine, send_updates, start};
use common::{SECOND, instance, interval, ms};
use marigold_request::RefusalReason;
use marigold_request::quarantine::{
    CrashId, CrashRecord, Fingerprint, QuarantineStatus, TrialHold,
};
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

#[test]
fn request_is_refused_after_two_crashes() {
    let now = Instant::now();
    let mut daemons: Vec<_> = (1..=5).map(quarantine).collect();
    let (faulty, bystander) = (print(1), print(2));
    let mut crashes = 0;
    // The caller retries the request through one daemon after another.
    for attempt in 0..20 {
        let at = attempt % 5;
        match daemons[at].status(&faulty, now) {
            QuarantineStatus::Refused(refusal) => {
                assert_eq!(refusal.reason, RefusalReason::Quarantined);
                assert!(refusal.retry_after.is_some());
                continue;
            }
            QuarantineStatus::Clear => drop(start(&mut daemons[at], bystander, now)),
            QuarantineStatus::Suspect => {}
        }
        let _ = start(&mut daemons[at], faulty, now);
        daemons[at].record_crash(now);
        crashes += 1;
        let updates = daemons[at].take_updates(now);
        for daemon in &mut daemons {
            daemon.receive(&updates, now);
        }
    }
    assert_eq!(crashes, 2);
    // The other request in flight at the first crash runs alone and is cleared on all daemons.
    assert_eq!(
        daemons[3].status(&bystander, now),
        QuarantineStatus::Suspect
    );
    let run = start(&mut daemons[3], bystander, now);
    daemons[3].record_answer(run, now);
    let updates = daemons[3].take_updates(now);
    for daemon in &mut daemons {
        daemon.receive(&updates, now);
        assert_eq!(daemon.status(&bystander, now), QuarantineStatus::Clear);
        assert!(matches!(
            daemon.status(&faulty, now),
            QuarantineStatus::Refused(_)
        ));
    }
}

#[test]
fn refusal_expires() {
    let now = Instant::now();
    let mut daemon = quarantine(1);
    for _ in 0..2 {
        let _ = start(&mut daemon, print(1), now);
        daemon.record_crash(now);
    }
    assert!(matches!(
        daemon.status(&print(1), now + 299 * SECOND),
        QuarantineStatus::Refused(_)
    ));
    assert_eq!(
        daemon.status(&print(1), now + 300 * SECOND),
        QuarantineStatus::Clear
    );
    assert!(daemon.is_empty());
}

#[test]
fn crash_reported_by_several_daemons_counts_once() {
    let now = Instant::now();
    let (mut one, mut other) = (quarantine(1), quarantine(2));
    one.record_lost_instance(instance(9, 1), &[print(1)], now);
    other.record_lost_instance(instance(9, 1), &[print(1)], now);
    other.record_lost_instance(instance(9, 1), &[print(1)], now);
    send_updates(&mut one, &mut other, now);
    assert_eq!(other.records(now)[0].crashes.len(), 1);
    assert_eq!(other.status(&print(1), now), QuarantineStatus::Suspect);
    other.record_lost_instance(instance(9, 2), &[print(1)], now);
    assert_eq!(other.records(now)[0].crashes.len(), 2);
}

/// A request that is answered between two crashes does not cause them, but is suspected again.
#[test]
fn answered_request_is_refused_after_two_coincident_crashes() {
    let now = Instant::now();
    let mut daemon = quarantine(1);
    let _ = start(&mut daemon, print(1), now);
    daemon.record_crash(now);
    let run = start(&mut daemon, print(1), now);
    daemon.record_answer(run, now);
    assert_eq!(daemon.status(&print(1), now), QuarantineStatus::Clear);
    let _ = start(&mut daemon, print(1), now);
    daemon.record_crash(now);
    assert_eq!(daemon.status(&print(1), now), QuarantineStatus::Suspect);
    let _ = start(&mut daemon, print(1), now);
    daemon.record_crash(now);
    assert!(is_refused(&mut daemon, print(1), now));
}

#[test]
fn only_requests_in_flight_are_suspect() {
    let now = Instant::now();
    let mut daemon = quarantine(1);
    let runs = [1, 2, 3].map(|number| start(&mut daemon, print(number), now));
    daemon.record_refusal(runs[0], now);
    daemon.record_answer(runs[1], now);
    daemon.record_crash(now);
    let statuses = [1, 2, 3].map(|number| daemon.status(&print(number), now));
    assert_eq!(
        statuses,
        [
            QuarantineStatus::Clear,
            QuarantineStatus::Clear,
            QuarantineStatus::Suspect
        ]
    );
}

#[test]
fn table_is_bounded_and_evicts_suspects_before_refused_requests() {
    let now = Instant::now();
    let mut daemon = quarantine(1);
    for _ in 0..2 {
        let _ = start(&mut daemon, print(0), now);
        daemon.record_crash(now);
    }
    for number in 0..5_000_u128 {
        let _ = start(&mut daemon, Fingerprint((number + 1).to_be_bytes()), now);
        daemon.record_crash(now + ms(1));
    }
    assert!(daemon.len() <= 1_024, "{}", daemon.len());
    assert!(matches!(
        daemon.status(&print(0), now + ms(2)),
        QuarantineStatus::Refused(_)
    ));
    assert!(daemon.take_updates(now).len() <= 1_024);
}

#[test]
fn delayed_update_does_not_extend_the_expiry() {
    let now = Instant::now();
    let (mut one, mut other) = (quarantine(1), quarantine(2));
    let _ = start(&mut one, print(1), now);
    one.record_crash(now);
    let old = one.take_updates(now);
    other.receive(&old, now);
    // The same update arrives again after a long delay and changes nothing.
    other.receive(&old, now + 200 * SECOND);
    assert_eq!(
        other.status(&print(1), now + 301 * SECOND),
        QuarantineStatus::Clear
    );
}

/// Daemons that merge the same records in any order, any number of times, agree.
#[test]
fn order_of_merges_does_not_matter() {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    for _ in 0..500 {
        let record = |rng: &mut ChaCha8Rng| {
            let crash = |number| CrashId {
                instance: instance(1, 1),
                number,
            };
            let crashes: BTreeSet<_> = (0..rng.random_range(0..4))
                .map(|_| crash(rng.random_range(0..8)))
                .collect();
            let mut hold = TrialHold::default();
            for _ in 0..rng.random_range(0..4) {
                if hold.is_open() {
                    hold.close();
                } else {
                    hold.open();
                }
            }
            CrashRecord {
                hold,
                generation: rng.random_range(0..3),
                crashes,
                trials: rng.random_range(0..3),
                age: interval(1_000),
                ..CrashRecord::new(print(1))
            }
        };
        let mut records: Vec<_> = (0..4).map(|_| record(&mut rng)).collect();
        let fold = |records: &[CrashRecord]| {
            let mut merged = records[0].clone();
            for record in records {
                merged.merge(record);
            }
            merged
        };
        let first = fold(&records);
        records.shuffle(&mut rng);
        let second = fold(&records);
        assert_eq!(first, second, "{records:?}");
    }
}

#[test]
fn late_end_of_a_run_before_a_crash_is_ignored() {
    let now = Instant::now();
    let mut daemon = quarantine(1);
    let first = start(&mut daemon, print(1), now);
    daemon.record_crash(now);
    let _ = start(&mut daemon, print(1), now);
    daemon.record_refusal(first, now);
    daemon.record_crash(now);
    assert!(matches!(
        daemon.status(&print(1), now),
        QuarantineStatus::Refused(_)
    ));
}

#[test]
fn sound_request_is_refused_after_crashes_beside_it() {
    let now = Instant::now();
    let mut daemons: Vec<_> = (1..=6).map(patient_quarantine).collect();
    // All backend servers are killed at the same moment, and the request is in flight at each.
    for daemon in &mut daemons {
        let _ = start(daemon, print(1), now);
        daemon.record_crash(now);
    }
    for sender in 0..daemons.len() {
        let updates = daemons[sender].take_updates(now);
        for daemon in &mut daemons {
            daemon.receive(&updates, now);
        }
    }
    let daemon = &mut daemons[3];
    assert_eq!(daemon.status(&print(1), now), QuarantineStatus::Suspect);
    let run = start(daemon, print(1), now);
    daemon.record_answer(run, now);
    assert_eq!(daemon.status(&print(1), now), QuarantineStatus::Clear);
    // Crashes recorded without knowledge of the answer do not count any more.
    let old = daemons[5].records(now);
    daemons[3].receive(&old, now);
    assert_eq!(daemons[3].status(&print(1), now), QuarantineStatus::Clear);
}

#[test]
fn first_crashes_do_not_hold_up_a_request() {
    let now = Instant::now();
    let mut daemon = patient_quarantine(1);
    let _ = start(&mut daemon, print(1), now);
    daemon.record_crash(now);
    assert_eq!(daemon.status(&print(1), now), QuarantineStatus::Clear);
    let _ = start(&mut daemon, print(1), now);
    daemon.record_crash(now);
    assert_eq!(daemon.status(&print(1), now), QuarantineStatus::Suspect);
}

/// Returns how long the request is refused after `trials` crashes during exclusive runs, in seconds.
fn refusal_s(trials: u32) -> u64 {
    let mut now = Instant::now();
    let mut daemon = patient_quarantine(1);
    let _ = daemon.record_start(print(1), true);
    daemon.record_crash(now);
    for _ in 1..trials {
        while is_refused(&mut daemon, print(1), now) {
            now += SECOND;
        }
        let _ = start(&mut daemon, print(1), now);
        daemon.record_crash(now);
    }
    let mut left = 0;
    while is_refused(&mut daemon, print(1), now) {
        now += SECOND;
        left += 1;
    }
    assert_eq!(daemon.status(&print(1), now), QuarantineStatus::Suspect);
    left
}

macro_rules! refusal_tests {
    ($($name:ident: $trials:literal => $seconds:literal;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(refusal_s($trials), $seconds);
        }
    )*};
}

refusal_tests! {
    first_failed_trial_refuses_for_a_short_term: 1 => 30;
    second_failed_trial_doubles_the_term: 2 => 60;
    third_failed_trial_doubles_it_again: 3 => 120;
    term_has_a_limit: 7 => 300;
}

#[test]
fn mended_request_is_served_after_the_term() {
    let now = Instant::now();
    let mut daemon = patient_quarantine(1);
    let _ = daemon.record_start(print(1), true);
    daemon.record_crash(now);
    let later = now + 30 * SECOND;
    let run = start(&mut daemon, print(1), later);
    daemon.record_answer(run, later);
    assert_eq!(daemon.status(&print(1), later), QuarantineStatus::Clear);
    // It takes as many crashes as at first to suspect it again.
    let _ = start(&mut daemon, print(1), later);
    daemon.record_crash(later);
    assert_eq!(daemon.status(&print(1), later), QuarantineStatus::Clear);
}

#[test]
fn request_whose_caller_leaves_before_the_crash_is_not_suspected() {
    let now = Instant::now();
    let mut daemon = quarantine(1);
    let run = start(&mut daemon, print(1), now);
    daemon.record_abandoned(run, now);
    let other = start(&mut daemon, print(2), now);
    daemon.record_answer(other, now + ms(100));
    daemon.record_crash(now + ms(200));
    assert_eq!(daemon.status(&print(1), now), QuarantineStatus::Suspect);
    assert_eq!(daemon.status(&print(2), now), QuarantineStatus::Clear);
}

#[test]
fn abandoned_request_is_suspected_of_a_later_crash() {
    let now = Instant::now();
    let mut daemon = quarantine(1);
    let run = start(&mut daemon, print(1), now);
    daemon.record_abandoned(run, now);
    let other = start(&mut daemon, print(2), now);
    daemon.record_answer(other, now + 2 * SECOND);
    daemon.record_crash(now + 2 * SECOND);
    assert_eq!(daemon.status(&print(1), now), QuarantineStatus::Clear);
}

#[test]
fn flood_of_crashing_requests_drops_those_that_matter() {
    let now = Instant::now();
    let mut daemon = patient_quarantine(1);
    let _ = daemon.record_start(print(0), true);
    daemon.record_crash(now);
    for number in 0..5_000_u128 {
        let _ = start(&mut daemon, Fingerprint((number + 1).to_be_bytes()), now);
        daemon.record_crash(now + ms(1));
    }
    assert_eq!(daemon.len(), 1_024);
    assert_eq!(daemon.take_dropped(), 5_001 - 1_024);
    assert!(is_refused(&mut daemon, print(0), now + ms(2)));
    assert!(daemon.records(now).len() <= 1_024);
}

#[test]
fn sound_requests_fill_the_table() {
    let now = Instant::now();
    let mut daemon = patient_quarantine(1);
    for number in 0..5_000_u128 {
        let run = start(&mut daemon, Fingerprint(number.to_be_bytes()), now);
        daemon.record_answer(run, now);
    }
    assert!(daemon.is_empty());
    assert!(!daemon.has_updates());
}
