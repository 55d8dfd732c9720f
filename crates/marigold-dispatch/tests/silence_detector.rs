//! Detection of backend servers that nothing is heard from any more.

use std::time::Duration;

use marigold_dispatch::SilenceDetector;
use tokio::time::Instant;

const MS: Duration = Duration::from_millis(1);
/// The expected run time of the requests in these tests.
const RUN: Duration = Duration::from_millis(100);
const SLOTS: u32 = 6;

/// Returns a detector that `runs` requests were sent to at the same time.
fn with_runs(runs: u32, now: Instant) -> SilenceDetector {
    let mut detector = SilenceDetector::default();
    for _ in 0..runs {
        detector.start(RUN, now);
    }
    detector
}

#[test]
fn silence_is_noticed_after_four_run_times() {
    let now = Instant::now();
    let detector = with_runs(3, now);
    assert!(!detector.is_silent(SLOTS, now + 399 * MS));
    assert!(detector.is_silent(SLOTS, now + 400 * MS));
}

#[test]
fn slow_runs_are_taken_for_silence() {
    let now = Instant::now();
    let detector = with_runs(2, now);
    assert!(!detector.is_silent(SLOTS, now + 60_000 * MS));
    // A backend server with fewer slots cannot have more overdue runs.
    assert!(detector.is_silent(2, now + 400 * MS));
    assert!(with_runs(1, now).is_silent(1, now + 400 * MS));
}

#[test]
fn short_runs_are_taken_for_silence_too_soon() {
    let now = Instant::now();
    let mut detector = SilenceDetector::default();
    for _ in 0..SLOTS {
        detector.start(MS, now);
    }
    assert!(!detector.is_silent(SLOTS, now + 249 * MS));
    assert!(detector.is_silent(SLOTS, now + 250 * MS));
}

#[test]
fn response_to_another_request_does_not_count() {
    let now = Instant::now();
    let mut detector = with_runs(SLOTS, now);
    detector.record_sound(now + 300 * MS);
    assert!(!detector.is_silent(SLOTS, now + 699 * MS));
    assert!(detector.is_silent(SLOTS, now + 700 * MS));
    detector.record_sound(now + 701 * MS);
    assert!(!detector.is_silent(SLOTS, now + 701 * MS));
}

#[test]
fn silence_is_forgotten_when_callers_leave() {
    let now = Instant::now();
    let mut detector = SilenceDetector::default();
    let runs: Vec<_> = (0..SLOTS).map(|_| detector.start(RUN, now)).collect();
    let (soon, later) = runs.split_at(3);
    // These say nothing: their responses were not due.
    for run in soon {
        detector.end(*run, now + 100 * MS);
    }
    assert!(!detector.is_silent(SLOTS, now + 399 * MS));
    for run in later {
        detector.end(*run, now + 400 * MS);
    }
    assert!(detector.is_silent(SLOTS, now + 1_000 * MS));
    assert!(!detector.is_alive(now + 1_000 * MS));
    detector.record_sound(now + 1_001 * MS);
    assert!(!detector.is_silent(SLOTS, now + 1_002 * MS));
    assert!(detector.is_alive(now + 1_002 * MS));
}

#[test]
fn trial_starts_on_a_backend_server_that_may_have_ended() {
    let now = Instant::now();
    assert!(with_runs(0, now).is_alive(now));
    let mut detector = with_runs(1, now);
    assert!(detector.is_alive(now + 99 * MS));
    assert!(!detector.is_alive(now + 100 * MS));
    detector.record_sound(now + 150 * MS);
    assert!(detector.is_alive(now + 249 * MS));
    assert!(!detector.is_alive(now + 250 * MS));
}

#[test]
fn backend_server_that_ends_under_one_request_goes_unnoticed() {
    let now = Instant::now();
    let mut detector = with_runs(1, now);
    assert!(!detector.needs_probe(SLOTS, now + 399 * MS));
    assert!(detector.needs_probe(SLOTS, now + 400 * MS));
    detector.record_failed_probe(now + 400 * MS);
    assert!(detector.is_silent(SLOTS, now + 900 * MS));
    assert!(!detector.needs_probe(SLOTS, now + 900 * MS));
    detector.record_sound(now + 901 * MS);
    assert!(!detector.is_silent(SLOTS, now + 901 * MS));
}

#[test]
fn long_run_on_a_backend_server_that_answers_is_taken_for_silence() {
    let now = Instant::now();
    let mut detector = with_runs(1, now);
    // A response to something else arrives while the health check waits.
    detector.record_sound(now + 450 * MS);
    detector.record_failed_probe(now + 400 * MS);
    assert!(!detector.is_silent(SLOTS, now + 900 * MS));
}
