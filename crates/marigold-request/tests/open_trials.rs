//! Exclusive runs of suspected requests whose outcome is not known yet. See docs/design/crashing-requests.md.

mod common;

use common::crashes::{is_refused, patient_quarantine, print, send_updates, start};
use common::{SECOND, interval, ms};
use marigold_request::quarantine::{Quarantine, QuarantineStatus};
use tokio::time::Instant;

#[test]
fn request_is_tried_elsewhere_before_the_outcome_of_its_trial_is_known() {
    let now = Instant::now();
    let (mut one, mut other) = (patient_quarantine(1), patient_quarantine(2));
    for _ in 0..2 {
        let _ = start(&mut one, print(1), now);
        one.record_crash(now);
    }
    // The backend server falls silent, and the caller gives up.
    let trial = start(&mut one, print(1), now);
    one.record_abandoned(trial, now);
    send_updates(&mut one, &mut other, now);
    assert!(is_refused(&mut other, print(1), now));
    let later = now + 2 * SECOND;
    one.record_crash(later);
    send_updates(&mut one, &mut other, later);
    assert!(is_refused(&mut other, print(1), later + 29 * SECOND));
}

/// Returns a daemon that knows of an exclusive run whose caller gave up.
fn with_open_trial(now: Instant) -> Quarantine {
    let mut daemon = patient_quarantine(1);
    for _ in 0..2 {
        let _ = start(&mut daemon, print(1), now);
        daemon.record_crash(now);
    }
    let trial = start(&mut daemon, print(1), now);
    daemon.record_abandoned(trial, now);
    daemon
}

#[test]
fn request_is_held_although_the_backend_server_survived_its_trial() {
    let now = Instant::now();
    let (mut daemon, mut other) = (with_open_trial(now), patient_quarantine(2));
    send_updates(&mut daemon, &mut other, now);
    let run = start(&mut daemon, print(2), now);
    daemon.record_answer(run, now + ms(999));
    assert!(is_refused(&mut daemon, print(1), now + ms(999)));
    let run = start(&mut daemon, print(2), now);
    daemon.record_answer(run, now + ms(1_000));
    send_updates(&mut daemon, &mut other, now + ms(1_000));
    for daemon in [&mut daemon, &mut other] {
        let status = daemon.status(&print(1), now + ms(1_000));
        assert_eq!(status, QuarantineStatus::Suspect);
    }
}

#[test]
fn request_is_held_for_good_after_its_backend_server_is_gone() {
    let now = Instant::now();
    let mut daemon = with_open_trial(now);
    let held = now + 9 * SECOND;
    match daemon.status(&print(1), held) {
        QuarantineStatus::Refused(refusal) => {
            let delay = refusal.retry_after.expect("a delay");
            assert!(delay <= interval(1_000), "{delay:?}");
        }
        status => panic!("{status:?}"),
    }
    assert_eq!(
        daemon.status(&print(1), now + 10 * SECOND),
        QuarantineStatus::Suspect
    );
}

#[test]
fn answered_request_is_held_after_an_open_trial() {
    let now = Instant::now();
    let (mut daemon, mut other) = (with_open_trial(now), patient_quarantine(2));
    let old = daemon.records(now);
    let run = daemon.record_start(print(1), false);
    daemon.record_answer(run, now);
    let trial = daemon.record_start(print(1), true);
    daemon.record_abandoned(trial, now);
    assert_eq!(daemon.status(&print(1), now), QuarantineStatus::Clear);
    send_updates(&mut daemon, &mut other, now);
    other.receive(&old, now);
    assert_eq!(other.status(&print(1), now), QuarantineStatus::Clear);
}

#[test]
fn silence_ends_no_run() {
    let now = Instant::now();
    let mut daemon = patient_quarantine(1);
    let run = start(&mut daemon, print(1), now);
    assert_eq!(daemon.record_silence(now).len(), 1);
    // The silent backend server has ended: this is the same crash.
    daemon.record_crash(now + SECOND);
    assert_eq!(daemon.records(now + SECOND)[0].crashes.len(), 1);
    daemon.record_answer(run, now + SECOND);
    let _ = start(&mut daemon, print(1), now + SECOND);
    daemon.record_silence(now + SECOND);
    assert_eq!(
        daemon.status(&print(1), now + SECOND),
        QuarantineStatus::Clear
    );
}

#[test]
fn trial_on_a_silent_backend_server_refuses_a_request_before_the_crash_is_certain() {
    let now = Instant::now();
    let mut daemon = patient_quarantine(1);
    for _ in 0..2 {
        let _ = start(&mut daemon, print(1), now);
        daemon.record_crash(now);
    }
    let trial = start(&mut daemon, print(1), now);
    daemon.record_silence(now);
    assert!(is_refused(&mut daemon, print(1), now));
    assert_eq!(daemon.records(now)[0].trials, 0);
    // It is heard again, and the trial goes on.
    daemon.record_sound(now + SECOND);
    assert_eq!(
        daemon.status(&print(1), now + SECOND),
        QuarantineStatus::Suspect
    );
    daemon.record_answer(trial, now + SECOND);
    assert_eq!(
        daemon.status(&print(1), now + SECOND),
        QuarantineStatus::Clear
    );
}
