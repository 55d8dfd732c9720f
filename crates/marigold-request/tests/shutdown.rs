//! Tests of graceful shutdown. See docs/design/draining.md.

mod common;

use common::{SECOND, interval, ms};
use marigold_request::drain::{Drain, ExitCode, Phase};
use tokio::time::Instant;

fn drain() -> (Drain, Instant) {
    (Drain::new(interval(30_000)), Instant::now())
}

#[test]
fn requests_in_flight_are_completed() {
    let (mut drain, now) = drain();
    drain.started();
    drain.started();
    assert_eq!(drain.signal(now), Phase::Draining);
    assert!(drain.takes_work());
    assert_eq!(drain.tick(now + 2 * SECOND), Phase::Refusing);
    assert!(!drain.takes_work());
    assert_eq!(drain.finished(now + 10 * SECOND), Phase::Refusing);
    assert_eq!(
        drain.finished(now + 20 * SECOND),
        Phase::Exit(ExitCode::Clean)
    );
}

#[test]
fn requests_are_accepted_while_the_announcement_spreads() {
    let (mut drain, now) = drain();
    drain.signal(now);
    assert_eq!(drain.tick(now + ms(1_999)), Phase::Draining);
    drain.started();
    assert_eq!(drain.tick(now + ms(2_000)), Phase::Refusing);
    assert_eq!(
        drain.finished(now + ms(2_100)),
        Phase::Exit(ExitCode::Clean)
    );
}

#[test]
fn idle_daemon_exits_only_after_the_announcement_time() {
    let (mut drain, now) = drain();
    drain.signal(now);
    assert_eq!(drain.tick(now + ms(100)), Phase::Draining);
    assert_eq!(drain.next_tick(), Some(now + 2 * SECOND));
    assert_eq!(drain.tick(now + 2 * SECOND), Phase::Exit(ExitCode::Clean));
    assert_eq!(drain.next_tick(), None);
}

#[test]
fn exits_at_the_timeout() {
    let (mut drain, now) = drain();
    drain.started();
    drain.signal(now);
    drain.tick(now + 2 * SECOND);
    assert_eq!(drain.next_tick(), Some(now + 30 * SECOND));
    assert_eq!(drain.tick(now + ms(29_999)), Phase::Refusing);
    assert_eq!(
        drain.tick(now + 30 * SECOND),
        Phase::Exit(ExitCode::TimedOut)
    );
    assert_eq!(drain.in_flight(), 1);
}

#[test]
fn late_tick_exits_directly() {
    let (mut drain, now) = drain();
    drain.started();
    drain.signal(now);
    assert_eq!(
        drain.tick(now + 60 * SECOND),
        Phase::Exit(ExitCode::TimedOut)
    );
}

#[test]
fn second_signal_exits_at_once() {
    let (mut drain, now) = drain();
    drain.started();
    drain.signal(now);
    assert_eq!(drain.signal(now + ms(1)), Phase::Exit(ExitCode::Forced));
    assert_eq!(drain.signal(now + ms(2)), Phase::Exit(ExitCode::Forced));
}

#[test]
fn short_timeout_leaves_time_to_finish() {
    let now = Instant::now();
    let mut drain = Drain::new(interval(1_000));
    drain.started();
    drain.signal(now);
    assert_eq!(drain.tick(now + ms(500)), Phase::Refusing);
    assert_eq!(drain.tick(now + ms(1_000)), Phase::Exit(ExitCode::TimedOut));
}

#[test]
fn exit_codes_differ() {
    let codes = [ExitCode::Clean, ExitCode::TimedOut, ExitCode::Forced].map(ExitCode::code);
    assert_eq!(codes, [0, 3, 4]);
}
