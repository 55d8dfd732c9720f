//! Exchanges that break without a response before the end of the backend server shows. See
//! docs/design/crashing-requests.md.

mod common;

use common::crashes::{is_refused, patient_quarantine, print, start};
use common::{SECOND, ms};
use marigold_request::quarantine::{CrashRecord, Fingerprint, Quarantine, QuarantineStatus};
use tokio::time::Instant;

/// How the end of the backend server shows.
type End = fn(&mut Quarantine, Instant) -> Vec<CrashRecord>;

fn blamed(records: &[CrashRecord]) -> Vec<Fingerprint> {
    records.iter().map(|record| record.fingerprint).collect()
}

macro_rules! blamed_alone {
    ($($name:ident: $end:expr;)*) => {$(
        /// The exchange of the first request broke; the second was open, the third was sent afterwards.
        #[test]
        fn $name() {
            let now = Instant::now();
            let mut daemon = patient_quarantine(1);
            let guilty = start(&mut daemon, print(1), now);
            let _ = start(&mut daemon, print(2), now);
            daemon.record_broken(guilty, now + ms(80));
            let _ = start(&mut daemon, print(3), now + ms(90));
            let end: End = $end;
            assert_eq!(blamed(&end(&mut daemon, now + SECOND)), [print(1)]);
        }
    )*};
}

blamed_alone! {
    silence_is_blamed_on_requests_sent_after_the_first_sign: Quarantine::record_silence;
    crash_is_blamed_on_requests_sent_after_the_first_sign: Quarantine::record_crash;
    next_instance_after_a_silence_is_blamed_on_others: |daemon, now| {
        daemon.record_silence(now);
        daemon.record_crash(now + 5 * SECOND)
    };
}

#[test]
fn two_requests_whose_exchanges_broke_are_not_both_suspected() {
    let now = Instant::now();
    let mut daemon = patient_quarantine(1);
    let runs = [1, 2].map(|number| start(&mut daemon, print(number), now));
    for run in runs {
        daemon.record_broken(run, now + ms(80));
    }
    let records = daemon.record_silence(now + ms(200));
    assert_eq!(blamed(&records), [print(1), print(2)]);
}

#[test]
fn request_whose_caller_left_is_forgotten_after_an_exchange_broke() {
    let now = Instant::now();
    let mut daemon = patient_quarantine(1);
    let [left, reset] = [1, 2].map(|number| start(&mut daemon, print(number), now));
    daemon.record_abandoned(left, now + ms(50));
    daemon.record_broken(reset, now + ms(80));
    let late = start(&mut daemon, print(3), now + ms(90));
    daemon.record_abandoned(late, now + ms(120));
    let records = daemon.record_silence(now + SECOND);
    assert_eq!(blamed(&records), [print(1), print(2)]);
}

#[test]
fn broken_exchange_convicts_although_the_backend_server_answered_others_afterwards() {
    let now = Instant::now();
    let mut daemon = patient_quarantine(1);
    let earlier = start(&mut daemon, print(2), now);
    let reset = start(&mut daemon, print(1), now);
    daemon.record_broken(reset, now + ms(80));
    // Sent before the exchange broke, its answer may have been on the way.
    daemon.record_answer(earlier, now + ms(81));
    let later = start(&mut daemon, print(3), now + ms(90));
    daemon.record_answer(later, now + ms(95));
    let _ = start(&mut daemon, print(4), now + ms(100));
    let records = daemon.record_crash(now + SECOND);
    assert_eq!(blamed(&records), [print(4)]);
}

#[test]
fn answered_health_check_does_not_clear_broken_exchanges() {
    let now = Instant::now();
    let mut daemon = patient_quarantine(1);
    let [first, second] = [1, 2].map(|number| start(&mut daemon, print(number), now));
    daemon.record_broken(first, now + ms(80));
    let sent_after = daemon.latest_event();
    daemon.record_broken(second, now + ms(81));
    daemon.record_alive(sent_after, now + ms(85));
    assert_eq!(blamed(&daemon.record_crash(now + SECOND)), [print(2)]);
}

#[test]
fn broken_exchange_convicts_for_good() {
    let now = Instant::now();
    let mut daemon = patient_quarantine(1);
    let reset = start(&mut daemon, print(1), now);
    daemon.record_broken(reset, now);
    assert!(daemon.record_crash(now + 11 * SECOND).is_empty());
}

/// Returns a daemon at which the exchange of an exclusive run broke.
fn with_broken_trial(now: Instant) -> Quarantine {
    let mut daemon = patient_quarantine(1);
    for _ in 0..2 {
        let _ = start(&mut daemon, print(1), now);
        daemon.record_crash(now);
    }
    let trial = start(&mut daemon, print(1), now);
    daemon.record_broken(trial, now);
    daemon
}

#[test]
fn request_runs_again_before_the_outcome_of_its_broken_trial_is_known() {
    let now = Instant::now();
    let mut daemon = with_broken_trial(now);
    assert!(is_refused(&mut daemon, print(1), now));
    daemon.record_silence(now + ms(100));
    assert_eq!(daemon.records(now + ms(100))[0].trials, 0);
    daemon.record_crash(now + 5 * SECOND);
    assert!(is_refused(&mut daemon, print(1), now + 34 * SECOND));
}

#[test]
fn request_stays_held_after_its_broken_trial_although_the_backend_server_lives() {
    let now = Instant::now();
    let mut daemon = with_broken_trial(now);
    let event = daemon.latest_event();
    daemon.record_alive(event, now + ms(20));
    let status = daemon.status(&print(1), now + ms(20));
    assert_eq!(status, QuarantineStatus::Suspect);
}
